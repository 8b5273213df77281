"""The members that sum up the spending of a large availability zone.

In a small zone each member reports to each other. In a large zone that would
cost messages with the square of its size, so members report to a few hubs only.
Each hub sends each member the sum of what all others have spent, and hubs of
other zones the sum of its zone. A receiver counts what the first hub says
that is settled and not silent. It follows the other hubs without counting, so
that it can go on with one of them at once.

If all hubs of a zone end at the same moment, its members don't learn what the
others spend until they count as silent, and then use only their own parts.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from jayseam.core import rendezvous

# Most members of a zone that report to each other directly.
MAX_MESH_MEMBERS = 8
HUBS_PER_ZONE = 3
# A hub that wasn't heard from for this time is replaced by the next one. Hubs
# report each 0.4 s, and positions count as silent after 0.9 s.
SWITCH_S = 0.6
# Time after which all members know a new hub and it knows what they have spent.
SETTLING_S = 1.5
# Mark before the name of a silent position among the zones of a report; alone,
# it says that the hub isn't settled.
_SILENT_MARK = '!'


def choose_hubs(zone: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Returns the hubs of a zone, the first one first; none if it is small.

    >>> choose_hubs('a', ['x', 'y', 'z'])
    ()
    >>> len(choose_hubs('a', [f'vm-{i}' for i in range(9)]))
    3
    """
    members = set(vms)
    if len(members) <= MAX_MESH_MEMBERS:
        return ()
    return tuple(rendezvous.rank(zone, members)[:HUBS_PER_ZONE])


def choose_receivers(
    own: str, own_hubs: Sequence[str], others: Sequence[str]
) -> list[str]:
    """Returns the hubs of another zone to which a hub reports.

    The first hub of a zone is heard by all of another, and the first one there
    hears all. So the first that is left there hears somebody, whichever hubs of
    one zone fail, and a third of the reports needn't cross zones.

    >>> [choose_receivers(vm, 'xyz', 'uvw') for vm in 'xyz']
    [['u', 'v', 'w'], ['u', 'v'], ['u']]

    Args:
      own: VM of the hub.
      own_hubs: Hubs of its zone, the first one first.
      others: Hubs of the other zone, the first one first.
    """
    rank = own_hubs.index(own)
    return list(others[: max(1, len(others) - rank)])


@attrs.frozen
class Hearing:
    """Whom the sender of a report hears.

    Attributes:
      zones: Other zones.
      silent: Positions of its own zone that it doesn't hear, if it is a hub.
      is_settled: Whether it has been a hub for long enough to know its zone.
    """

    zones: tuple[str, ...] = ()
    silent: frozenset[str] = frozenset()
    is_settled: bool = True

    def pack(self) -> list[str]:
        """Returns the names for a report.

        Builds without hubs take marked names for zones that don't exist.

        >>> Hearing(('b',), frozenset(['u1'])).pack()
        ['b', '!u1']
        >>> unpack_hearing(['b', '!']) == Hearing(('b',), is_settled=False)
        True
        """
        marked = [_SILENT_MARK + position for position in sorted(self.silent)]
        unsettled = [] if self.is_settled else [_SILENT_MARK]
        return [*self.zones, *marked, *unsettled]


def unpack_hearing(names: Iterable[str]) -> Hearing:
    """Returns whom the sender of a report with these names hears."""
    zones, silent = [], set()
    for name in names:
        if name.startswith(_SILENT_MARK):
            silent.add(name.removeprefix(_SILENT_MARK))
        else:
            zones.append(name)
    return Hearing(tuple(zones), frozenset(silent - {''}), '' not in silent)


@attrs.define(slots=True)
class _HubReport:
    """What a receiver knows from one hub.

    Attributes:
      hearing: Whom the hub hears.
      heard_at: Time of its last report, in seconds.
      uncounted: Tokens spent by others that it has reported since the last
        report of the hub in use, by workspace.
    """

    hearing: Hearing
    heard_at: float = -math.inf
    uncounted: dict[str, float] = attrs.field(factory=dict)


class HubReports:
    """The reports of the hubs of one zone.

    >>> reports = HubReports()
    >>> reports.set_hubs(('x', 'y'))
    >>> reports.receive('x', {'w': 1.0}, Hearing(), now=10.0)
    {'w': 1.0}
    >>> reports.receive('y', {'w': 2.0}, Hearing(), now=10.1)
    {}
    >>> reports.receive('y', {'w': 3.0}, Hearing(), now=10.7)
    {'w': 5.0}
    """

    def __init__(self):
        self._hubs: tuple[str, ...] = ()
        self._reports: dict[str, _HubReport] = {}

    def set_hubs(self, hubs: tuple[str, ...]) -> None:
        """Sets the hubs of the zone, the first one first."""
        self._hubs = hubs
        self._reports = {
            vm: report for vm, report in self._reports.items() if vm in hubs
        }

    def receive(
        self,
        hub: str,
        spent: Mapping[str, float],
        hearing: Hearing,
        now: float,
    ) -> dict[str, float]:
        """Returns the tokens to count for a hub's report, by workspace.

        Args:
          hub: VM of the hub.
          spent: Tokens spent by others since its last report.
          hearing: Whom it hears.
          now: Present time in seconds.
        """
        report = self._reports.setdefault(hub, _HubReport(hearing))
        report.heard_at, report.hearing = now, hearing
        for name, amount in spent.items():
            report.uncounted[name] = report.uncounted.get(name, 0.0) + amount
        if self._find_used(now - SWITCH_S) != hub:
            return {}
        counted = report.uncounted
        # The other hubs have reported the same tokens.
        for other in self._reports.values():
            other.uncounted = {}
        return counted

    def find_silent(self, oldest: float) -> frozenset[str] | None:
        """Returns the positions of the zone that the hub in use doesn't hear.

        Args:
          oldest: Time of the oldest report that still counts, in seconds.

        Returns:
          The positions, or None without a hub that reported recently.
        """
        hub = self._find_used(oldest)
        return None if hub is None else self._reports[hub].hearing.silent

    def _find_used(self, oldest: float) -> str | None:
        """Returns the first hub that is settled and reported recently.

        Without a settled hub, any other is used.
        """
        recent = [
            hub
            for hub in self._hubs
            if hub in self._reports and self._reports[hub].heard_at >= oldest
        ]
        settled = [
            hub for hub in recent if self._reports[hub].hearing.is_settled
        ]
        return next(iter([*settled, *recent]), None)


class ZoneHubs:
    """The hubs of all zones and what they report.

    >>> zone_hubs = ZoneHubs()
    >>> zone_hubs.update({'a': [f'vm-{i}' for i in range(9)], 'b': ['vm-9']})
    >>> len(zone_hubs.list_hubs('a')), zone_hubs.list_hubs('b')
    (3, ())
    """

    def __init__(self):
        self._hubs: dict[str, tuple[str, ...]] = {}
        self._reports: dict[str, HubReports] = {}

    def update(self, zones: Mapping[str, Iterable[str]]) -> None:
        """Chooses the hubs among the VMs of each zone."""
        self._hubs = {
            zone: choose_hubs(zone, vms) for zone, vms in zones.items()
        }
        for zone, hubs in self._hubs.items():
            self.get_reports(zone).set_hubs(hubs)

    def list_hubs(self, zone: str) -> tuple[str, ...]:
        """Returns the hubs of a zone, the first one first."""
        return self._hubs.get(zone, ())

    def get_reports(self, zone: str) -> HubReports:
        """Returns what the hubs of a zone report."""
        return self._reports.setdefault(zone, HubReports())


@attrs.define
class HubRole:
    """What a node has as a hub.

    Attributes:
      since: Time since which it is a hub, in seconds.
      spent_by: Tokens that each member of the zone has spent since, by
        workspace.
    """

    since: float = -math.inf
    spent_by: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def update(self, is_hub: bool, now: float) -> None:
        """Begins or ends the role."""
        if not is_hub:
            self.since = -math.inf
        elif math.isinf(self.since):
            self.since = now

    def add(self, vm: str, workspace: str, amount: float) -> None:
        """Adds tokens that a member has spent."""
        spent = self.spent_by.setdefault(vm, {})
        spent[workspace] = spent.get(workspace, 0.0) + amount
