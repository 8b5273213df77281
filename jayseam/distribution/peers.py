"""The interface through which the distribution reaches other nodes."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import attrs
import gevent

from jayseam.core import errors as core_errors
from jayseam.core import logs
from jayseam.distribution import messages
from jayseam.distribution import spreading

_SEND_FAILURES = (core_errors.JayseamError, OSError, gevent.Timeout)
_log = logs.get_logger(__name__)


@attrs.frozen
class Peers:
    """The functions through which the task reaches other nodes.

    Attributes:
      request: ``request(vm, message, timeout_s)`` returns the reply.
      broadcast: ``broadcast(message)`` sends to all open links.
      notify: ``notify(vm, message)`` sends without waiting for a reply, if a
        link is open.
      dial_and_notify: The same, but opens a link if none is.
      list_neighbours: Returns the VMs that get heartbeats.
      list_live_in_zone: Returns the live VMs of the own zone.
      list_running_in_zone: The same, with those that are leaving: callers may
        stay with them for long, so they have to be told of versions, too.
      list_live_elsewhere: Returns the live VMs of each other zone.
      list_seeds: Returns the VMs that a fresh node asks first; the call may
        open links.
    """

    request: Callable[[str, Any, float], Any]
    broadcast: Callable[[Any], Any]
    notify: Callable[[str, Any], Any]
    dial_and_notify: Callable[[str, Any], Any]
    list_neighbours: Callable[[], Iterable[str]]
    list_live_in_zone: Callable[[], Iterable[str]]
    list_running_in_zone: Callable[[], Iterable[str]]
    list_seeds: Callable[[], Iterable[str]] = tuple
    list_live_elsewhere: Callable[[], Mapping[str, Collection[str]]] = dict

    @property
    def surroundings(self) -> spreading.Surroundings:
        """The nodes around this one."""
        return spreading.Surroundings(
            tuple(self.list_neighbours()),
            tuple(self.list_running_in_zone()),
            self.list_live_elsewhere(),
        )

    def spawn_broadcast(self, message: Any) -> None:
        """Sends to all open links without blocking."""
        gevent.spawn(_send_best_effort, self.broadcast, message)

    def spawn_announce(self, message: Any, is_carrier: bool) -> None:
        """Sends to those who are told at once, without blocking."""
        around = self.surroundings
        for vm in spreading.list_announcement_receivers(around, is_carrier):
            self.spawn_notify(vm, message)

    def spawn_notify(self, vm: str, message: Any) -> None:
        """Sends to one peer without blocking."""
        gevent.spawn(_send_best_effort, self.notify, vm, message)

    def spawn_dial_and_notify(self, vm: str, message: Any) -> None:
        """Sends to one peer, to which no link may be open, without blocking."""
        gevent.spawn(_send_best_effort, self.dial_and_notify, vm, message)

    def request_sync(
        self, vm: str, sync: messages.Sync, timeout_s: float
    ) -> messages.Heartbeat | None:
        """Asks a peer for its versions; returns None without a valid reply."""
        try:
            reply = self.request(vm, sync, timeout_s)
        except _SEND_FAILURES as error:
            _log.debug(
                'distribution.sync_failed',
                extra={'vm': vm, 'error': str(error)},
            )
            return None
        return reply if isinstance(reply, messages.Heartbeat) else None


def _send_best_effort(function: Callable[..., Any], *args: Any) -> None:
    """Sends without raising errors, because heartbeats repair lost messages."""
    try:
        function(*args)
    except _SEND_FAILURES as error:
        _log.debug('distribution.send_failed', extra={'error': str(error)})
