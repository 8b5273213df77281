"""Fields that heartbeats carry for other tasks, and their senders."""

from collections.abc import Callable, Mapping
from typing import Any

from jayseam.membership import callbacks

HEARTBEAT_S = 1.0
# A follower that misses three heartbeats no longer receives forwarded updates.
_FOLLOWER_TIMEOUT_S = 3 * HEARTBEAT_S


class HeartbeatFields:
    """Small values that other tasks attach to heartbeats.

    >>> fields, got = HeartbeatFields(), []
    >>> fields.add('load', lambda: 3)
    >>> fields.subscribe('load', lambda vm, value: got.append((vm, value)))
    >>> fields.deliver('vm-1', fields.collect())
    >>> got
    [('vm-1', 3)]
    """

    def __init__(self):
        self._providers: dict[str, Callable[[], Any]] = {}
        self._subscribers: dict[str, list[Callable[[str, Any], None]]] = {}

    def add(self, name: str, function: Callable[[], Any]) -> None:
        """Adds a field with the value of ``function()``.

        Raises:
          ValueError: If the name is taken.
        """
        if name in self._providers:
            raise ValueError(f'heartbeat field {name!r} is already added')
        self._providers[name] = function

    def subscribe(
        self, name: str, function: Callable[[str, Any], None]
    ) -> None:
        """Registers ``function(vm, value)`` for received fields ``name``."""
        self._subscribers.setdefault(name, []).append(function)

    def collect(self) -> dict[str, Any]:
        """Returns the values to send, without fields whose value is None."""
        values = {name: read() for name, read in self._providers.items()}
        return {k: v for k, v in values.items() if v is not None}

    def deliver(self, vm: str, values: Mapping[str, Any]) -> None:
        """Passes received values on to their subscribers."""
        for name, value in values.items():
            for function in self._subscribers.get(name, ()):
                callbacks.call_safely(function, vm, value)


class Followers:
    """The members that send heartbeats to this node.

    Nodes send heartbeats to their neighbours and to the members they monitor.

    >>> followers = Followers()
    >>> followers.record_heartbeat('vm-1', now=1.0)
    >>> followers.remove_silent(now=4.0)
    >>> followers.list_vms()
    {'vm-1'}
    >>> followers.remove_silent(now=4.5)
    >>> followers.list_vms()
    set()
    """

    def __init__(self):
        self._heard_at: dict[str, float] = {}

    def record_heartbeat(self, vm: str, now: float) -> None:
        """Records the time of a heartbeat of ``vm``."""
        self._heard_at[vm] = now

    def remove_silent(self, now: float) -> None:
        """Removes members that sent no heartbeat for three intervals."""
        for vm, heard_at in list(self._heard_at.items()):
            if now - heard_at > _FOLLOWER_TIMEOUT_S:
                del self._heard_at[vm]

    def list_vms(self) -> set[str]:
        """Returns the names of the followers."""
        return set(self._heard_at)
