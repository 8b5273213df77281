"""Requests for admission, and what became of them."""

import enum
import math
from collections.abc import Callable

import attrs


class Result(enum.Enum):
    """How an admitted call ended.

    Attributes:
      SUCCESS: With a complete answer.
      ERROR: With a complete answer that reports a failure of the server.
      SHED: The server refused the call before it ran.
      RESET: The server closed the connection without a complete answer.
      TIMEOUT: Without an answer by the deadline.
      FAILED: In another way, which says nothing about the server.
    """

    SUCCESS = 'success'
    ERROR = 'error'
    SHED = 'shed'
    RESET = 'reset'
    TIMEOUT = 'timeout'
    FAILED = 'failed'


@attrs.frozen
class Ticket:
    """A request to admit one call.

    Attributes:
      workspace: Workspace that the call runs for.
      cost: Expected share of the backend server's time; see
        `Gate.estimate_cost`.
      deadline: Time by which the call must have finished, in seconds.
      request_id: Id of the call.
      still_valid: Returns whether the call may still run at a given time.
      rank: Urgency; 0 is the most urgent.
      objective: Latency objective: time until which an answer has its full
        value, in seconds.
      kind: Kind of the call, the name of its route.
    """

    workspace: str
    cost: float
    deadline: float
    request_id: str
    still_valid: Callable[[float], bool]
    rank: int = 0
    objective: float = math.inf
    kind: str = ''


@attrs.frozen
class GateReport:
    """The state of a gate at one moment.

    Attributes:
      in_flight: Calls admitted and not yet released.
      queued: Calls that wait.
      limit: Calls allowed in flight now: the lowest of the next three and of
        the limit of the pacer.
      capacity: The lower of slots and connections.
      ramp: Limit of the ramp.
      adaptive: Adaptive limit.
      service_s: Mean time that the backend server takes for a call, in
        seconds; zero if it is not known yet.
      backlogs: Number of backlogs that the queue serves in turn; see
        ``count_backlogs`` of the queues.
    """

    in_flight: int
    queued: int
    limit: int
    capacity: int
    ramp: int
    adaptive: int
    service_s: float = 0.0
    backlogs: int = 0

    @property
    def load(self) -> float:
        """Calls in flight and queued over the limit, as load reports have it.

        >>> GateReport(6, 2, 4, 10, 4, 10).load
        2.0
        """
        return (self.in_flight + self.queued) / max(1, self.limit)

    def estimate_fair_load(self, queued: int) -> float:
        """Returns the part of the load that delays a workspace's next call.

        The queue takes one call of each backlog per round, so the call waits
        for as many rounds as its workspace has calls queued, and one more.

        Args:
          queued: Calls of the workspace that wait.

        >>> GateReport(4, 12, 4, 4, 4, 4, backlogs=2).estimate_fair_load(0)
        1.5
        """
        ahead = self.backlogs * (queued + 1)
        return min(self.load, (self.in_flight + ahead) / max(1, self.limit))
