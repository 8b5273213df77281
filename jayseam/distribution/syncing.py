"""Asks peers for their versions and waits for what they have."""

from collections.abc import Callable, Iterable, Mapping

import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.distribution import messages
from jayseam.distribution import peers as distribution_peers
from jayseam.distribution import states
from jayseam.distribution import versions

_ANSWER_TIMEOUT_S = 1.0


class Syncer:
    """Exchanges `Sync` with peers.

    Its functions block, so they run in greenlets other than the task's.
    """

    def __init__(
        self,
        peers: distribution_peers.Peers,
        read_state: Callable[[], states.State],
        take_answer: Callable[[str, messages.Heartbeat, float], None],
        changed: event.Event,
    ):
        """Prepares the exchange.

        Args:
          peers: Functions that reach other nodes.
          read_state: Returns what the node holds.
          take_answer: Takes a peer's VM, its answer, and a time in seconds
            before which the answer was not given.
          changed: Set for a moment at each swap and rejection.
        """
        self._peers = peers
        self._read_state = read_state
        self._take_answer = take_answer
        self._changed = changed

    def sync(self, vms: Iterable[str], timeout_s: float) -> bool:
        """Asks peers at once and waits for the versions that one offers.

        Returns:
          Whether a peer answered. What it offered is then in force, unless it
          was invalid or the time ran out.
        """
        deadline = clocks.read_now() + timeout_s
        answers = self._ask(vms, timeout_s, 1)
        if not answers:
            return False
        offered = {s.channel: s.version for s in _list_states(answers)}
        self._wait_for(offered, deadline)
        return True

    def find_newer(self, vms: Iterable[str]) -> bool:
        """Asks peers; tells whether one of them has a newer version."""
        asked = list(vms)
        answers = self._ask(asked, _ANSWER_TIMEOUT_S, len(asked))
        return any(
            self._is_newer(state.channel, state.version, state.prefix)
            for state in _list_states(answers)
        )

    def _is_newer(self, channel: str, version: int, digest: str = '') -> bool:
        store, now = self._read_state().store, clocks.read_now()
        verdict = store.offer(channel, version, digest, now)
        return verdict is versions.Verdict.NEWER

    def _ask(
        self, vms: Iterable[str], timeout_s: float, enough: int
    ) -> list[messages.Heartbeat]:
        """Sends `Sync` to peers; returns once ``enough`` have answered."""
        now = clocks.read_now()
        sync = messages.Sync(
            states.pack_channels(self._read_state(), now), int(now * 1000)
        )
        asked = [
            gevent.spawn(self._ask_peer, vm, sync, timeout_s) for vm in vms
        ]
        answers = []
        for greenlet in gevent.iwait(asked, timeout=timeout_s):
            if greenlet.value is not None:
                answers.append(greenlet.value)
            if len(answers) >= enough:
                break
        return answers

    def _ask_peer(self, vm, sync, timeout_s) -> messages.Heartbeat | None:
        asked_at = clocks.read_now()
        answer = self._peers.request_sync(vm, sync, timeout_s)
        if answer is not None:
            self._take_answer(vm, answer, asked_at)
        return answer

    def _wait_for(self, offered: Mapping[str, int], deadline: float) -> None:
        """Waits until offered versions are in force or turn out invalid."""
        while (now := clocks.read_now()) < deadline:
            if not any(self._is_newer(c, v) for c, v in offered.items()):
                return
            self._changed.wait(deadline - now)


def _list_states(
    answers: Iterable[messages.Heartbeat],
) -> list[messages.ChannelState]:
    return [
        state
        for answer in answers
        for state in messages.unpack_states(answer.states)
    ]
