"""Members on the loopback interface for the tests of membership."""

import contextlib

import attrs
import gevent

from jayseam.links import handlers
from jayseam.links import manager
from jayseam.membership import records
from jayseam.membership import task

SECRET = 'fleet-secret-number-one'


def create_record(vm, **fields):
    """Returns a record with default values for the missing fields."""
    base = {
        'upstream': f'u-{vm}',
        'service': 'credits',
        'zone': 'zone-1',
        'region': 'region-1',
        'host': '127.0.0.1',
        'port': 1,
        'incarnation': 1,
        'sequence': 0,
        'state': 'alive',
        'backend': 'ready',
    }
    return records.MemberRecord(vm=vm, **(base | fields))


class Member:
    """A node with links and a membership task.

    Attributes:
      blocked: VMs that this node cannot dial.
      redirected: Addresses to dial in place of those in the view, by VM.
    """

    def __init__(self, vm, seeds=(), **fields):
        registry = handlers.HandlerRegistry()
        record = create_record(vm, **fields)
        self.vm = vm
        self.blocked = set()
        self.redirected = {}
        self.links = manager.LinkManager(
            manager.Identity(vm, record.incarnation),
            [SECRET],
            self.resolve,
            registry,
        )
        self.links.start()
        host, port = self.links.address
        own = attrs.evolve(record, host=host, port=port)
        self.task = task.MembershipTask(own, self.links, registry, seeds)
        self.task.start()

    def resolve(self, vm):
        """Returns the address of a VM unless it is blocked."""
        if vm in self.blocked:
            return None
        return self.redirected.get(vm) or self.task.find_address(vm)

    def state_of(self, vm):
        """Returns the state of a VM in this node's view, or None."""
        record = self.task.view.members.get(vm)
        return record and record.state

    def kill(self):
        """Ends the node without notifying other members."""
        self.task.stop(0.1)
        self.links.stop(0.0)


class Fleet(contextlib.ExitStack):
    """Members that are stopped after the test."""

    def __init__(self):
        super().__init__()
        self.members = {}

    def add(self, vm, **fields):
        """Starts a member that knows the first one as its seed."""
        seeds = [m.links.address for m in list(self.members.values())[:1]]
        member = Member(vm, seeds, **fields)
        self.members[vm] = member
        self.callback(member.kill)
        return member

    def add_members(self, count, zones):
        """Starts members across the zones and waits until views agree."""
        for i in range(count):
            self.add(f'vm-{i:02d}', zone=f'zone-{i % zones}')
        assert wait_until(lambda: self.views_agree(count)), 'views do not agree'
        return list(self.members.values())

    def views_agree(self, count):
        """Returns whether all have the same view of ``count`` live members."""
        views = [member.task.view for member in self.members.values()]
        return (
            len({view.digest for view in views}) == 1
            and len(views[0].list_live()) == count
        )


def wait_until(condition, timeout_s=6.0):
    """Waits for ``condition()``; returns whether it held in time."""
    with gevent.Timeout(timeout_s, False):
        while not condition():
            gevent.sleep(0.01)
        return True
    return False
