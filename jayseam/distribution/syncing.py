"""Asks peers for their versions and waits until newer ones are in force."""

from collections.abc import Callable, Iterable, Mapping

import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.distribution import messages
from jayseam.distribution import peers as distribution_peers
from jayseam.distribution import states
from jayseam.distribution import versions

_REPLY_TIMEOUT_S = 1.0


class Syncer:
    """Exchanges `Sync` with peers.

    The methods block, so they must not be called in the task's greenlet.
    """

    def __init__(
        self,
        peers: distribution_peers.Peers,
        read_state: Callable[[], states.State],
        on_reply: Callable[[str, messages.Heartbeat, float], None],
        changed: event.Event,
    ):
        """Prepares the syncer.

        Args:
          peers: Functions that reach other nodes.
          read_state: Returns the state of the node.
          on_reply: Called with a peer's VM, its reply, and a lower bound of
            the time at which the reply was sent, in seconds.
          changed: Set and cleared at once at each swap and rejection.
        """
        self._peers = peers
        self._read_state = read_state
        self._on_reply = on_reply
        self._changed = changed

    def sync(self, vms: Iterable[str], timeout_s: float) -> bool:
        """Asks peers concurrently and waits for what the first reply offers.

        Returns:
          Whether a peer replied. The versions in its reply are then in force,
          unless they were invalid or the time ran out.
        """
        deadline = clocks.read_now() + timeout_s
        replies = self._send_sync(vms, timeout_s, 1)
        if not replies:
            return False
        offered = {s.channel: s.version for s in _list_states(replies)}
        self._wait_for(offered, deadline)
        return True

    def has_newer_peer(self, vms: Iterable[str]) -> bool | None:
        """Asks peers and returns whether one of them has a newer version.

        Returns:
          None if no peer replied.
        """
        peers = list(vms)
        replies = self._send_sync(peers, _REPLY_TIMEOUT_S, len(peers))
        if not replies:
            return None
        return any(
            self._is_newer(state.channel, state.version, state.prefix)
            for state in _list_states(replies)
        )

    def _is_newer(self, channel: str, version: int, digest: str = '') -> bool:
        store, now = self._read_state().store, clocks.read_now()
        verdict = store.classify(channel, version, digest, now)
        return verdict is versions.Verdict.NEWER

    def _send_sync(
        self, vms: Iterable[str], timeout_s: float, min_replies: int
    ) -> list[messages.Heartbeat]:
        """Sends `Sync` to peers and waits for ``min_replies`` replies."""
        now = clocks.read_now()
        sync = messages.Sync(
            states.pack_channels(self._read_state(), now), int(now * 1000)
        )
        greenlets = [
            gevent.spawn(self._send_sync_to_peer, vm, sync, timeout_s)
            for vm in vms
        ]
        replies = []
        for greenlet in gevent.iwait(greenlets, timeout=timeout_s):
            if greenlet.value is not None:
                replies.append(greenlet.value)
            if len(replies) >= min_replies:
                break
        return replies

    def _send_sync_to_peer(
        self, vm, sync, timeout_s
    ) -> messages.Heartbeat | None:
        requested_at = clocks.read_now()
        reply = self._peers.request_sync(vm, sync, timeout_s)
        if reply is not None:
            self._on_reply(vm, reply, requested_at)
        return reply

    def _wait_for(self, offered: Mapping[str, int], deadline: float) -> None:
        """Waits until offered versions are in force or turn out invalid."""
        while (now := clocks.read_now()) < deadline:
            if not any(self._is_newer(c, v) for c, v in offered.items()):
                return
            self._changed.wait(deadline - now)


def _list_states(
    replies: Iterable[messages.Heartbeat],
) -> list[messages.ChannelState]:
    return [
        state
        for reply in replies
        for state in messages.unpack_states(reply.states)
    ]
