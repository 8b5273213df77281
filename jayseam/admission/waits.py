"""How long calls may wait for admission, and the errors of those refused."""

from jayseam.admission import errors
from jayseam.admission import queues
from jayseam.admission import tickets

# Mean service times that must be left until the latency objective when a call
# leaves the queue. Under lasting overload the queue fills up to the longest
# wait allowed, so calls whose run takes longer than this miss their objective.
MIN_SERVICE_TIMES_LEFT = 1.5
# Calls may wait for this share of a mean service time whatever their objective,
# so that a slow backend server does not idle between two arrivals.
MIN_WAIT_SHARE = 0.5
# Shortest delay after which a refused caller is told to retry.
MIN_RETRY_AFTER_S = 0.05


def compute_max_wait(objective: float, mean_s: float, now: float) -> float:
    """Returns the longest time a call may wait in the queue, in seconds.

    >>> compute_max_wait(objective=10.5, mean_s=0.2, now=10.0)
    0.2
    >>> compute_max_wait(objective=10.0, mean_s=0.2, now=10.0)
    0.1

    Args:
      objective: Time until which an answer has its full value, in seconds.
      mean_s: Mean time of a call, in seconds.
      now: Current time in seconds.
    """
    time_left_s = round(objective - now - MIN_SERVICE_TIMES_LEFT * mean_s, 9)
    return max(time_left_s, MIN_WAIT_SHARE * mean_s)


def build_error(
    reason: queues.DropReason, ticket: tickets.Ticket, wait_s: float = 0.0
) -> errors.AdmissionError:
    """Returns the error of a call that was refused or dropped."""
    call = f'call {ticket.request_id} of workspace {ticket.workspace}'
    if reason is queues.DropReason.DEADLINE:
        return errors.DeadlineError(
            f'{call} cannot meet its deadline', max(MIN_RETRY_AFTER_S, wait_s)
        )
    if reason is queues.DropReason.DISPLACED:
        return errors.QueueFullError(f'{call} was displaced from the queue')
    return errors.NoLongerValidError(f'{call} may no longer run')
