"""What heartbeats carry for other tasks, and who sends them to this node."""

from collections.abc import Callable, Mapping
from typing import Any

from jayseam.membership import callbacks

HEARTBEAT_S = 1.0
# A follower that misses three heartbeats no longer gets updates of others.
_FOLLOWER_S = 3 * HEARTBEAT_S


class Fields:
    """Small values that other tasks add to heartbeats.

    >>> fields, got = Fields(), []
    >>> fields.add('load', lambda: 3)
    >>> fields.subscribe('load', lambda vm, value: got.append((vm, value)))
    >>> fields.deliver('vm-1', fields.collect())
    >>> got
    [('vm-1', 3)]
    """

    def __init__(self):
        self._sources: dict[str, Callable[[], Any]] = {}
        self._readers: dict[str, list[Callable[[str, Any], None]]] = {}

    def add(self, name: str, function: Callable[[], Any]) -> None:
        """Adds a field with the value of ``function()``.

        Raises:
          ValueError: If the name is taken.
        """
        if name in self._sources:
            raise ValueError(f'heartbeat field {name!r} is already added')
        self._sources[name] = function

    def subscribe(
        self, name: str, function: Callable[[str, Any], None]
    ) -> None:
        """Has ``function(vm, value)`` called for each received field."""
        self._readers.setdefault(name, []).append(function)

    def collect(self) -> dict[str, Any]:
        """Returns the values to send; a field that is None is left out."""
        values = {name: read() for name, read in self._sources.items()}
        return {k: v for k, v in values.items() if v is not None}

    def deliver(self, vm: str, values: Mapping[str, Any]) -> None:
        """Passes received values on to their subscribers."""
        for name, value in values.items():
            for function in self._readers.get(name, ()):
                callbacks.call_safely(function, vm, value)


class Followers:
    """The members that send heartbeats to this node.

    >>> followers = Followers()
    >>> followers.hear('vm-1', now=1.0)
    >>> followers.forget_silent(now=4.0)
    >>> followers.list_vms()
    {'vm-1'}
    >>> followers.forget_silent(now=4.5)
    >>> followers.list_vms()
    set()
    """

    def __init__(self):
        self._heard_at: dict[str, float] = {}

    def hear(self, vm: str, now: float) -> None:
        """Records a heartbeat."""
        self._heard_at[vm] = now

    def forget_silent(self, now: float) -> None:
        """Drops the members whose heartbeats have ended."""
        for vm, heard_at in list(self._heard_at.items()):
            if now - heard_at > _FOLLOWER_S:
                del self._heard_at[vm]

    def list_vms(self) -> set[str]:
        """Returns the names of the followers."""
        return set(self._heard_at)
