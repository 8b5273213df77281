"""How recently the source confirmed the configuration of a node."""

from collections.abc import Callable

from jayseam import distribution


class Confirmations:
    """Tells whether calls may be decided by the configuration held.

    Args:
      task: Task that distributes the configuration.
      read_max_unconfirmed_s: Returns the seconds for which a configuration is
        trusted without a confirmation.
      started_at: Time of the start of the node, in seconds.
    """

    def __init__(
        self,
        task: distribution.task.DistributionTask,
        read_max_unconfirmed_s: Callable[[], float],
        started_at: float,
    ):
        self._distribution = task
        self._read_max_unconfirmed_s = read_max_unconfirmed_s
        self._started_at = started_at

    def are_keys_trusted(self, now: float) -> bool:
        """Returns whether the keys were confirmed recently enough."""
        return (
            self._distribution.has_joined
            and self.compute_keys_age(now) <= self._read_max_unconfirmed_s()
        )

    def is_current(self, channel: str, now: float) -> bool:
        """Returns whether the version held of a channel is the newest.

        It was confirmed recently, and no peer has told of a newer one since.
        """
        if not self._distribution.has_joined:
            return False
        age_s = self._distribution.compute_confirmation_age(channel, now)
        if age_s is None or age_s > self._read_max_unconfirmed_s():
            return False
        return not self._distribution.has_newer_offer(channel)

    def compute_keys_age(self, now: float) -> float:
        """Returns the seconds since the source confirmed the keys."""
        age_s = self._distribution.compute_confirmation_age('keys', now)
        return round(now - self._started_at if age_s is None else age_s, 3)
