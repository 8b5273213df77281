"""Calls and cancellations that this node sends to ingresses."""

import gevent

from jayseam import calls
from jayseam import links
from jayseam.calls import messages
from jayseam.core import logs
from jayseam.node import metrics

_log = logs.get_logger(__name__)


class Forwarder:
    """Sends calls to the ingresses of VMs, also of the own one.

    Args:
      own_vm: Name of the own VM.
      link_manager: Links to other nodes.
      ingress: Ingress of this node.
    """

    def __init__(
        self,
        own_vm: str,
        link_manager: links.manager.LinkManager,
        ingress: calls.ingress.Ingress,
    ):
        self._own_vm = own_vm
        self._links = link_manager
        self._ingress = ingress

    def forward(
        self, vm: str, forward: messages.Forward, timeout_s: float
    ) -> messages.Answered | messages.Refused:
        """Sends a call to a VM and returns the reply of its node.

        Raises:
          LinkError: If there is no reply.
        """
        if vm == self._own_vm:
            return self._ingress.handle_forward(forward)
        # Nobody can repeat a call that may run only once, and a silent VM may
        # only be paused.
        return self._links.request(
            vm, forward, timeout_s, is_patient=not forward.repeatable
        )

    def cancel(self, vm: str, attempt: str) -> None:
        """Cancels an attempt at a VM; opens a link if there is none."""
        if vm == self._own_vm:
            self._ingress.cancel(attempt)
            return
        message = messages.CancelAttempt(attempt)
        if not self._links.notify(vm, message):
            gevent.spawn(self._send_cancellation, vm, message)

    def _send_cancellation(
        self, vm: str, message: messages.CancelAttempt
    ) -> None:
        is_sent, reason = False, 'no open link took it'
        try:
            is_sent = self._links.dial_and_notify(vm, message)
        except links.errors.LinkError as error:
            reason = str(error)
        metrics.CANCELLATIONS_RESENT.labels(str(is_sent).lower()).inc()
        _log.info(
            'call.cancellation_resent',
            extra={
                'upstream_vm': vm,
                'attempt': message.attempt,
                'sent': is_sent,
                'reason': reason,
            },
        )
