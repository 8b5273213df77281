"""Requests of this node to other members: heartbeats, pulls and probes."""

import random
from collections.abc import Callable
from typing import Any

import gevent

from jayseam.core import clocks
from jayseam.core import rendezvous
from jayseam.links import errors as link_errors
from jayseam.links import manager
from jayseam.membership import events
from jayseam.membership import heartbeats
from jayseam.membership import messages
from jayseam.membership import reconciliation
from jayseam.membership import views

REQUEST_TIMEOUT_S = 1.0
PROBERS = 2
PULL_BUCKETS = 8


class Exchanges:
    """Asks other members and sends what they answer to the task.

    Its functions block until the reply, so they run in greenlets of their own.
    It owns no view: it reads the task's.
    """

    def __init__(
        self,
        own_vm: str,
        links: manager.LinkManager,
        fields: heartbeats.Fields,
        read_view: Callable[[], views.View],
        send: Callable[[Any], None],
    ):
        """Prepares the exchanges.

        Args:
          own_vm: Name of the own VM.
          links: Links of this node.
          fields: Fields of heartbeats.
          read_view: Returns the current view.
          send: Puts a message into the mailbox of the task.
        """
        self._own_vm = own_vm
        self._links = links
        self._fields = fields
        self._read_view = read_view
        self._send = send
        self._mismatches = reconciliation.Mismatches()
        self._pulling = False

    def beat(self, vm: str) -> bool:
        """Sends a heartbeat; tells whether it was answered."""
        try:
            reply = self._links.request(
                vm, self.create_heartbeat(), REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return False
        if not isinstance(reply, messages.Heartbeat):
            return False
        self.read_heartbeat(vm, reply)
        self._compare_digest(vm, reply.digest)
        return True

    def create_heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat of this node."""
        return messages.Heartbeat(
            self._read_view().digest, self._fields.collect()
        )

    def read_heartbeat(self, vm: str, heartbeat: messages.Heartbeat) -> None:
        """Takes a heartbeat, which is a sign of life."""
        self._send(events.Heard(vm, clocks.read_now(), indirect=False))
        self._fields.deliver(vm, heartbeat.fields)

    def forget_digest(self, vm: str) -> None:
        """Forgets the digests of a member that has been dropped."""
        self._mismatches.forget(vm)

    def join(self, seed: manager.Address) -> bool:
        """Dials a seed and takes its view; tells whether that worked."""
        try:
            vm = self._links.dial_address(*seed)
        except link_errors.LinkError:
            return False
        return self.beat(vm) and self._pull(vm, views.BUCKETS)

    def request_probes(self, vm: str) -> None:
        """Asks other members to probe ``vm``."""
        others = [r.vm for r in self._read_view().live() if r.state == 'alive']
        others = [name for name in others if name not in (vm, self._own_vm)]
        near = [name for name in others if name in self._links.connected()]
        for prober in rendezvous.rank(vm, near or others)[:PROBERS]:
            gevent.spawn(self._request_probe, prober, vm)

    def _request_probe(self, prober: str, vm: str) -> None:
        try:
            result = self._links.request(
                prober, messages.Probe(vm), 2 * REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return
        if isinstance(result, messages.ProbeResult) and result.reachable:
            self._send(events.Heard(vm, clocks.read_now(), indirect=True))

    def _compare_digest(self, vm: str, digest: bytes) -> None:
        differs = digest != self._read_view().digest
        persists = self._mismatches.note(vm, differs)
        if persists and not self._pulling:
            self._mismatches.forget(vm)
            self._pull(vm, PULL_BUCKETS)

    def _pull(self, vm: str, max_buckets: int) -> bool:
        """Reconciles up to ``max_buckets`` buckets with another member."""
        self._pulling = True
        try:
            summary = self._links.request(
                vm, messages.PullSummary(), REQUEST_TIMEOUT_S
            )
            buckets = reconciliation.find_differing(
                self._read_view(), summary.buckets
            )
            random.shuffle(buckets)
            for start in range(0, min(len(buckets), max_buckets), PULL_BUCKETS):
                self._pull_buckets(vm, buckets[start : start + PULL_BUCKETS])
        except (link_errors.LinkError, AttributeError):
            # AttributeError: the reply is of another class.
            return False
        finally:
            self._pulling = False
        return True

    def _pull_buckets(self, vm: str, buckets: list[int]) -> None:
        known = reconciliation.known_hashes(self._read_view(), buckets)
        asked = messages.PullRecords(buckets, known)
        reply = self._links.request(vm, asked, REQUEST_TIMEOUT_S)
        newer = reconciliation.choose_newer(self._read_view(), reply)
        self._send(events.Merge(tuple(reply.records), vm))
        if newer:
            self._links.notify(vm, messages.MemberUpdate(newer))
