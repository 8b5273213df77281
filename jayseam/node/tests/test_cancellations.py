"""Cancellations of attempts at other VMs."""

import gevent
import pytest

from jayseam.calls import messages
from jayseam.links import errors
from jayseam.node import forwarding
from jayseam.node import metrics


class _Links:
    """Links that are all closed at first.

    Attributes:
      can_dial: Whether a link can be opened.
      sent: VMs and messages that a link took.
    """

    def __init__(self, can_dial):
        self.can_dial = can_dial
        self.sent = []

    def notify(self, vm, message):
        """Takes nothing."""
        del vm, message
        return False

    def dial_and_notify(self, vm, message):
        """Opens a link and sends a notification."""
        gevent.sleep(0.01)
        if not self.can_dial:
            raise errors.DialError(f'no link to {vm}')
        self.sent.append((vm, message))
        return True


@pytest.mark.parametrize('can_dial', [True, False])
def test_cancellation_opens_a_link(can_dial):
    """Without an open link, an attempt ran to its end for nobody."""
    links = _Links(can_dial)
    forwarder = forwarding.Forwarder('a', links, None)
    label = str(can_dial).lower()
    counter = metrics.CANCELLATIONS_RESENT.labels(label)
    before = counter._value.get()
    forwarder.cancel('b', 'attempt')
    gevent.sleep(0.1)
    expected = [('b', messages.CancelAttempt('attempt'))] if can_dial else []
    assert links.sent == expected
    assert counter._value.get() == before + 1
