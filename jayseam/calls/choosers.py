"""Chooses routes and VMs for calls from the configuration in force."""

import random
from collections.abc import Callable, Collection
from typing import Any

import attrs
import prometheus_client

from jayseam import membership
from jayseam import routing
from jayseam.calls import errors

# A VM that failed to answer is avoided for this long, so that the call's retry
# and later calls don't wait for the same unresponsive VM.
_AVOID_UNREACHABLE_S = 2.0
# A VM that refused a call has no room for about the duration of one call.
_AVOID_REFUSING_S = 0.15
_EXPECTED_TIME = 'expected_time'

_choices = prometheus_client.Counter(
    'jayseam_placement_choices',
    'Choices of a VM with the strategy expected_time, by reason',
    ('reason',),
)
# The method ``labels`` validates its arguments on every call.
_choices_by_reason: dict[str, Any] = {}
_full_avoided = prometheus_client.Counter(
    'jayseam_placement_full_avoided',
    'Choices that passed over VMs without room',
)
_merged_loads = prometheus_client.Counter(
    'jayseam_placement_merged_loads',
    'Loads of VMs taken over from replies of other VMs',
)
_resets = prometheus_client.Counter(
    'jayseam_placement_resets',
    'Broken connections from which the limit of a VM was learned',
)


@attrs.frozen
class Choice:
    """The ingress chosen for one attempt.

    Attributes:
      vm: Name of its VM.
      incarnation: Incarnation of its process.
      service: Service of the call.
      reason: Why it was chosen, if the strategy gives a reason.
      expected_s: Expected time to an answer in seconds; 0 if the strategy
        doesn't estimate it.
    """

    vm: str
    incarnation: int
    service: str
    reason: str = ''
    expected_s: float = 0.0


@attrs.frozen
class CallProfile:
    """What the strategy ``expected_time`` has to know of a call.

    Attributes:
      kind: Kind of the call: the name of its route.
      needs: Rank and time left of the call.
    """

    kind: str
    needs: routing.refusals.CallNeeds


@attrs.frozen(eq=False)
class _PoolCache:
    """Pools of one pair of preset and view, each built on first use.

    Attributes:
      preset: The preset.
      view: The view.
      by_service: Pools by service.
      zone_vms: Candidates of these pools in the own zone.
    """

    preset: Any
    view: membership.views.View
    by_service: dict[str, routing.selection.CandidatePool] = attrs.field(
        factory=dict
    )
    zone_vms: set[str] = attrs.field(factory=set)


class Chooser:
    """Chooses routes and VMs.

    Owns the load table, the zones' return times and the cached pools.

    Args:
      own_zone: Zone of this node.
      strategy: Name of a selection strategy.
      draw: Returns a random number in [0, 1).
      spill_load: Load of the own zone from which calls go to other zones too.
      spill_gain: Amount by which the load of a backend server in another zone
        must then be below the load in the own zone; None for no minimum.
      zone_price: Saving of time, over the time left, from which the strategy
        ``expected_time`` sends calls to another zone.
      list_unresponsive: Returns the VMs that have an unanswered ping at a given
        time in seconds. They are never chosen: a call sent there would probably
        be lost, and its caller couldn't know whether it ran.
    """

    def __init__(
        self,
        own_zone: str,
        strategy: str,
        draw: Callable[[], float] = random.random,
        spill_load: float = routing.selection.DEFAULT_SPILL_LOAD,
        spill_gain: float | None = None,
        list_unresponsive: Callable[[float], set[str]] = lambda now: set(),
        zone_price: float = 0.0,
    ):
        self._zone_price = zone_price
        self._by_expected_time = strategy == _EXPECTED_TIME
        self._speeds = routing.speeds.SpeedTable()
        self._capacities = routing.expectations.CapacityCache(self._speeds)
        self._list_unresponsive = list_unresponsive
        self._spill_load = spill_load
        self._spill_gain = spill_gain
        self._own_zone = own_zone
        self._strategy = strategy
        self._draw = draw
        self._loads = routing.loads.LoadTable()
        self._refusals = routing.refusals.RefusalTable()
        self._zone_return_times: routing.zones.ReturnTimes = {}
        self._in_service: frozenset[str] | None = None
        self._pool_cache: _PoolCache | None = None
        self._avoided_until: dict[str, float] = {}
        self._choice_count = 0
        self._route_table: tuple[Any, routing.matching.RouteTable] | None = None

    @property
    def loads(self) -> routing.loads.LoadTable:
        """Loads of the VMs to which this node sends calls."""
        return self._loads

    def set_preset(self, preset: Any, now: float) -> None:
        """Records which zones a new preset takes out of service or returns."""
        in_service = routing.zones.list_in_service(preset)
        self._zone_return_times = routing.zones.update_return_times(
            self._zone_return_times, self._in_service, in_service, now
        )
        self._in_service = in_service
        self._pool_cache = None

    def match_route(
        self, preset: Any, method: str, path: str, host: str = ''
    ) -> Any:
        """Returns the route of a call.

        Raises:
          CallError: If no route matches.
        """
        try:
            return self._get_route_table(preset).match(path, method, host)
        except routing.errors.MethodNotAllowedError as error:
            raise errors.MethodError(str(error)) from error
        except routing.errors.NoRouteError as error:
            raise errors.NoRouteError(str(error)) from error
        except routing.errors.BadPathError as error:
            raise errors.BadRequestError(str(error)) from error

    def draw_service(self, route: Any) -> str:
        """Returns a random service by the weights of the route's targets.

        All attempts of a call go to the same service: calls for which that
        service has no room must not shift the operators' weights.
        """
        return routing.matching.choose_service(route.targets, self._draw())

    def choose(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        tried_vms: Collection[str],
        now: float,
        workspace: str = '',
        needs: routing.refusals.CallNeeds | None = None,
        profile: CallProfile | None = None,
    ) -> Choice | None:
        """Returns the ingress for the next attempt, or None if there is none.

        Args:
          preset: Preset in force.
          service: Service of the call, from `draw_service`.
          view: Members known.
          tried_vms: VMs that this call has tried.
          now: Present time in seconds.
          workspace: Workspace of the call.
          needs: What decides whether a queue has room for the call; VMs that
            recently refused such a call are excluded. None for a first attempt,
            which also goes to VMs that are known to be full.
          profile: What ``expected_time`` has to know of the call. With it, VMs
            known to be full are tried only if there is no other.
        """
        pool = self._get_pool(preset, view, service)
        excluded = self._list_unresponsive(now).union(tried_vms)
        if needs is not None:
            excluded |= self._refusals.list_full_vms(needs, now)
        avoided = excluded | self._list_avoided(now)
        full = set()
        if self._by_expected_time and profile is not None:
            full = self._refusals.list_full_vms(profile.needs, now)
        usable = pool.exclude(avoided | full) if avoided | full else pool
        if full and usable.groups:
            _full_avoided.inc()
        elif full:
            usable = pool.exclude(avoided) if avoided else pool
        if not usable.groups:
            # An attempt at an avoided VM is better than refusing the call.
            usable = pool.exclude(excluded) if excluded else pool
        if not usable.groups:
            return None
        self._choice_count += 1
        decision = routing.selection.decide(
            usable,
            routing.selection.LoadView(
                self._loads,
                workspace,
                now,
                self._spill_load,
                self._spill_gain,
                self._build_outlook(service, profile),
            ),
            self._own_zone,
            [self._draw() for _ in range(routing.selection.DRAWS_PER_CHOICE)],
            self._choice_count,
            self._strategy,
        )
        _count_choice(decision.reason)
        vm = decision.candidate.vm
        return Choice(
            vm,
            view.members[vm].incarnation,
            service,
            decision.reason,
            decision.expected_s,
        )

    def start_attempt(self, vm: str, workspace: str = '') -> None:
        """Counts the start of an attempt at a VM."""
        self._loads.record_call_start(vm, workspace)

    def finish_attempt(self, vm: str, workspace: str = '') -> None:
        """Counts the end of an attempt at a VM."""
        self._loads.record_call_end(vm, workspace)

    def record_load(
        self,
        vm: str,
        workspace: str,
        report: routing.loads.ReportedLoad,
        now: float,
        kind: str = '',
    ) -> None:
        """Stores the load that came with a reply to a call.

        Args:
          vm: VM of the reply.
          workspace: Workspace of the call.
          report: Load in the reply.
          now: Current time in seconds.
          kind: Kind of the call.
        """
        self._loads.record_report(vm, workspace, report, now)
        self._avoided_until.pop(vm, None)
        if self._by_expected_time:
            self._speeds.record_reply(
                vm, kind, report.kind_service_s, report.limit, report.load, now
            )

    @property
    def report_zone(self) -> str:
        """Own zone if replies should carry digests; else empty."""
        return self._own_zone if self._by_expected_time else ''

    def collect_reports(self, now: float) -> list[list[Any]]:
        """Returns the digest of recent loads for another node of the zone."""
        if not self._by_expected_time or self._pool_cache is None:
            return []
        return routing.digests.collect(
            self._loads, self._pool_cache.zone_vms, now
        )

    def merge_reports(self, items: Collection[Any], now: float) -> None:
        """Takes over newer loads from the digest in a reply."""
        if self._by_expected_time and items and self._pool_cache is not None:
            merged = routing.digests.merge(
                self._loads,
                self._speeds,
                items,
                self._pool_cache.zone_vms,
                now,
            )
            _merged_loads.inc(merged)

    def record_reset(self, vm: str, now: float) -> None:
        """Lowers the limit of a VM that may have reset a call as it was full.

        This must be called after `record_load` for the reply.
        """
        member = self._loads.find(vm)
        if self._by_expected_time and member and member.report:
            report = member.report
            # The call that was reset is no longer in the report.
            calls = report.load * report.limit + 1.0
            if self._speeds.record_reset(vm, calls, now):
                _resets.inc()

    def record_failure(self, vm: str, now: float) -> None:
        """Avoids a VM for a while after it failed to answer."""
        self._avoid(vm, now + _AVOID_UNREACHABLE_S)

    def record_refusal(self, vm: str, now: float) -> None:
        """Avoids a VM briefly after it refused a call."""
        self._avoid(vm, now + _AVOID_REFUSING_S)

    def record_full(
        self,
        vm: str,
        needs: routing.refusals.CallNeeds,
        wait_s: float,
        now: float,
    ) -> None:
        """Records that a VM had no room in its queue for a call."""
        self._refusals.add_refusal(vm, needs, wait_s, now)

    def _avoid(self, vm: str, until: float) -> None:
        self._avoided_until[vm] = max(until, self._avoided_until.get(vm, until))

    def explain(
        self, preset: Any, view: membership.views.View, route: Any, now: float
    ) -> list[routing.selection.Explanation]:
        """Returns for each VM of a route's services whether it is usable."""
        return [
            explanation
            for service, _ in route.targets
            for explanation in routing.selection.explain(
                preset,
                _list_members(preset, view, service),
                service,
                self._zone_return_times,
                self._loads,
                now,
            )
        ]

    def _get_route_table(self, preset: Any) -> routing.matching.RouteTable:
        if self._route_table is None or self._route_table[0] is not preset:
            table = routing.matching.build_table(preset.routes)
            self._route_table = (preset, table)
        return self._route_table[1]

    def _get_pool(
        self, preset: Any, view: membership.views.View, service: str
    ) -> routing.selection.CandidatePool:
        cache = self._pool_cache
        if (
            cache is None
            or cache.preset is not preset
            or cache.view is not view
        ):
            cache = self._pool_cache = _PoolCache(preset, view)
        pool = cache.by_service.get(service)
        if pool is None:
            pool = routing.selection.build_pool(
                preset,
                _list_members(preset, view, service),
                service,
                self._zone_return_times,
            )
            cache.by_service[service] = pool
            cache.zone_vms.update(
                member.vm
                for group in pool.groups
                for member in group.members
                if group.zone == self._own_zone
            )
        return pool

    def _build_outlook(
        self, service: str, profile: CallProfile | None
    ) -> routing.expectations.Outlook | None:
        if not self._by_expected_time:
            return None
        outlook = routing.expectations.Outlook(
            self._capacities, service, zone_price=self._zone_price
        )
        if profile is None:
            return outlook
        return attrs.evolve(
            outlook,
            kind=profile.kind,
            time_left_s=profile.needs.time_left_s,
        )

    def _list_avoided(self, now: float) -> set[str]:
        if not self._avoided_until:
            return set()
        self._avoided_until = {
            vm: until
            for vm, until in self._avoided_until.items()
            if until > now
        }
        return set(self._avoided_until)


def _count_choice(reason: str) -> None:
    """Counts a choice for which the strategy gave a reason."""
    if not reason:
        return
    counter = _choices_by_reason.get(reason)
    if counter is None:
        counter = _choices_by_reason[reason] = _choices.labels(reason)
    counter.inc()


def _list_members(
    preset: Any, view: membership.views.View, service: str
) -> list[membership.records.MemberRecord]:
    """Returns the members at the positions of a service.

    The preset decides which service a position belongs to; the service in
    membership records may be outdated.
    """
    return [
        record
        for upstream in preset.upstreams_by_service.get(service, ())
        for record in view.list_upstream_members(upstream.name)
    ]
