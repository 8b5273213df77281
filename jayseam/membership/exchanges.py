"""Requests to other members: heartbeats, reconciliation and probes."""

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
PROBER_COUNT = 2
BUCKETS_PER_PULL = 8


class Exchanges:
    """Sends requests to other members and passes the replies to the task.

    Its methods block until the reply arrives, so the task runs them in other
    greenlets. The membership task owns the view; this class only reads it.
    """

    def __init__(
        self,
        own_vm: str,
        links: manager.LinkManager,
        fields: heartbeats.HeartbeatFields,
        read_view: Callable[[], views.View],
        send: Callable[[Any], None],
    ):
        """Initializes the client.

        Args:
          own_vm: Name of this node's VM.
          links: Links of this node.
          fields: Values that heartbeats carry for other tasks.
          read_view: Returns the current view.
          send: Puts a message into the mailbox of the task.
        """
        self._own_vm = own_vm
        self._links = links
        self._fields = fields
        self._read_view = read_view
        self._send = send
        self._mismatches = reconciliation.MismatchCounter()
        self._pulling = False

    def send_heartbeat(self, vm: str) -> bool:
        """Sends a heartbeat and returns whether it was answered."""
        try:
            reply = self._links.request(
                vm, self.create_heartbeat(), REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return False
        if not isinstance(reply, messages.Heartbeat):
            return False
        self.process_heartbeat(vm, reply)
        self._compare_digest(vm, reply.digest)
        return True

    def create_heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat of this node."""
        return messages.Heartbeat(
            self._read_view().digest, self._fields.collect()
        )

    def process_heartbeat(self, vm: str, heartbeat: messages.Heartbeat) -> None:
        """Reports a heartbeat as a sign of life and delivers its fields."""
        self._send(events.SignOfLife(vm, clocks.read_now(), indirect=False))
        self._fields.deliver(vm, heartbeat.fields)

    def reset_mismatches(self, vm: str) -> None:
        """Removes the mismatch count of a member that left the view."""
        self._mismatches.reset(vm)

    def join(self, seed: manager.Address) -> bool:
        """Joins through a seed: dials it and reconciles all buckets with it.

        Returns:
          Whether the seed answered all requests.
        """
        try:
            vm = self._links.dial_address(*seed)
        except link_errors.LinkError:
            return False
        return self.send_heartbeat(vm) and self._pull(vm, views.BUCKET_COUNT)

    def request_probes(self, vm: str) -> None:
        """Asks up to ``PROBER_COUNT`` other members to probe ``vm``.

        Only members with an open link are asked, if there are any.
        """
        others = [
            r.vm for r in self._read_view().list_live() if r.state == 'alive'
        ]
        others = [name for name in others if name not in (vm, self._own_vm)]
        near = [
            name for name in others if name in self._links.list_connected_vms()
        ]
        for prober in rendezvous.rank(vm, near or others)[:PROBER_COUNT]:
            gevent.spawn(self._request_probe, prober, vm)

    def _request_probe(self, prober: str, vm: str) -> None:
        try:
            result = self._links.request(
                prober, messages.Probe(vm), 2 * REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return
        if isinstance(result, messages.ProbeResult) and result.reachable:
            self._send(events.SignOfLife(vm, clocks.read_now(), indirect=True))

    def _compare_digest(self, vm: str, digest: bytes) -> None:
        differs = digest != self._read_view().digest
        persists = self._mismatches.record(vm, differs)
        if persists and not self._pulling:
            self._mismatches.reset(vm)
            self._pull(vm, BUCKETS_PER_PULL)

    def _pull(self, vm: str, max_buckets: int) -> bool:
        """Reconciles up to ``max_buckets`` differing buckets with a member.

        Returns:
          Whether the member answered all requests.
        """
        self._pulling = True
        try:
            summary = self._links.request(
                vm, messages.PullSummary(), REQUEST_TIMEOUT_S
            )
            buckets = reconciliation.find_differing(
                self._read_view(), summary.buckets
            )
            random.shuffle(buckets)
            for start in range(
                0, min(len(buckets), max_buckets), BUCKETS_PER_PULL
            ):
                self._pull_buckets(
                    vm, buckets[start : start + BUCKETS_PER_PULL]
                )
        except (link_errors.LinkError, AttributeError):
            # AttributeError: the reply is a message of an unexpected class.
            return False
        finally:
            self._pulling = False
        return True

    def _pull_buckets(self, vm: str, buckets: list[int]) -> None:
        known = reconciliation.collect_hashes(self._read_view(), buckets)
        asked = messages.PullRecords(buckets, known)
        reply = self._links.request(vm, asked, REQUEST_TIMEOUT_S)
        newer = reconciliation.choose_newer(self._read_view(), reply)
        self._send(events.Merge(tuple(reply.records), vm))
        if newer:
            self._links.notify(vm, messages.MemberUpdate(newer))
