"""In-process fakes of the source and of the links between nodes."""

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import errors as core_errors
from jayseam.distribution import messages
from jayseam.distribution import peers as distribution_peers
from jayseam.distribution import task
from jayseam.presets import documents
from jayseam.source import client
from jayseam.source import errors


@attrs.frozen
class Peer:
    """The sender of a message."""

    vm: str
    incarnation: int = 1


class FakeSource:
    """A source in memory, with the interface of `client.SourceClient`."""

    url = 'http://127.0.0.1:1'
    min_read_interval_s = 1.0
    is_local = False

    def __init__(self):
        self.values = {}
        self.parts = {}
        self.reads = 0
        self.is_down = False
        self._changed = event.Event()

    def publish(self, channel, version, bundle):
        """Puts a bundle under a channel."""
        self.parts |= {**bundle.parts, bundle.digest: bundle.manifest}
        pointer = documents.encode_json({'manifest': bundle.digest})
        self.set_value(channel, version, pointer)

    def set_value(self, channel, version, body):
        """Sets the raw value of a channel."""
        self.values[channel] = (version, body)
        self._changed.set()
        self._changed = event.Event()

    def read_value(self, key, after_revision=None, wait_s=0.0, after_digest=''):
        """Reads a pointer."""
        del after_digest
        return self._read(key.removeprefix('channels/'), after_revision, wait_s)

    def set_reader_rank(self, rank):
        """Ignores the rank."""

    def read_vms(self, after_revision=None, wait_s=0.0, after_digest=''):
        """Reads the VM list."""
        del after_digest
        return self._read('vms', after_revision, wait_s)

    def read_part(self, digest):
        """Reads a part."""
        self._count_read()
        if digest not in self.parts:
            raise errors.ValueMissingError(digest)
        return self.parts[digest]

    def _read(self, channel, after_revision, wait_s):
        requested_at = clocks.read_now()
        self._count_read()
        version, body = self.values.get(channel, (0, b''))
        if after_revision is not None and version <= after_revision and wait_s:
            self._changed.wait(wait_s)
            version, body = self.values.get(channel, (0, b''))
        if self.is_down:
            raise errors.SourceUnreachableError('down')
        if not version:
            raise errors.ValueMissingError(channel)
        is_newer = after_revision is None or version > after_revision
        now = clocks.read_now()
        return client.Reply(
            version, body if is_newer else None, requested_at, now
        )

    def _count_read(self):
        self.reads += 1
        if self.is_down:
            raise errors.SourceUnreachableError('down')


class FakeNet:
    """Connects tasks in one process; messages can be altered or lost.

    Attributes:
      leaving: Nodes that are leaving, but still run.
      tamper: ``tamper(sender, receiver, message)`` returns the message to
        deliver, or None to lose it.
      are_linked: ``are_linked(sender, receiver)`` returns whether a link is
        open; messages may open one.
    """

    def __init__(self):
        self.nodes = {}
        self.zones = {}
        self.leaving = set()
        self.tamper = lambda sender, receiver, message: message
        self.are_linked = lambda sender, receiver: True

    def add(self, vm, source=None, zone='z', list_neighbours=None, **options):
        """Adds a node; all nodes are neighbours of each other by default."""

        def others():
            return [n for n in self.nodes if n != vm]

        peers = distribution_peers.Peers(
            request=lambda *args: self.request(vm, *args),
            broadcast=lambda m: [self.notify(vm, n, m) for n in others()],
            notify=lambda n, m: self.notify(vm, n, m),
            dial_and_notify=lambda n, m: self._notify(vm, n, m),
            list_neighbours=list_neighbours or others,
            list_live_in_zone=lambda: [
                n
                for n in self.nodes
                if self.zones.get(n) == zone and n not in self.leaving
            ],
            list_running_in_zone=lambda: [
                n for n in self.nodes if self.zones.get(n) == zone
            ],
            list_seeds=others,
        )
        node = task.DistributionTask(
            vm, 1, zone, peers, source, watch_wait_s=0.5, **options
        )
        self.nodes[vm] = node
        self.zones[vm] = zone
        return node

    def request(self, sender, receiver, message, timeout_s):
        """Delivers a request and its reply within a time limit."""
        with gevent.Timeout(timeout_s):
            reply = self._deliver(sender, receiver, message)
            reply = self.tamper(receiver, sender, reply)
            if reply is None:
                raise core_errors.JayseamError('reply lost')
            return reply

    def notify(self, sender, receiver, message):
        """Delivers a message without a reply, over an open link only."""
        return self.are_linked(sender, receiver) and self._notify(
            sender, receiver, message
        )

    def _notify(self, sender, receiver, message):
        try:
            self._deliver(sender, receiver, message)
        except core_errors.JayseamError:
            return False
        return True

    def stop(self):
        """Stops all nodes."""
        for node in self.nodes.values():
            node.stop()

    def _deliver(self, sender, receiver, message):
        message = self.tamper(sender, receiver, message)
        if message is None or receiver not in self.nodes:
            raise core_errors.JayseamError('not sent')
        node = self.nodes[receiver]
        handlers = {
            messages.Announce: node.handle_announce,
            messages.Pull: node.handle_pull,
            messages.Heartbeat: node.handle_heartbeat,
            messages.Sync: node.handle_sync,
            messages.Rejection: node.handle_rejection,
        }
        return handlers[type(message)](Peer(sender), message)


def wait_until(condition, timeout_s=5.0):
    """Waits until a condition holds; fails the test if it does not."""
    deadline = clocks.read_now() + timeout_s
    while not condition():
        assert clocks.read_now() < deadline, 'condition not reached in time'
        gevent.sleep(0.005)
