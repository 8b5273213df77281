"""Chooses routes and VMs for calls from the configuration in force."""

import random
import sys
from collections.abc import Callable, Collection, Sequence
from typing import Any

import attrs

from jayseam import membership
from jayseam import routing
from jayseam.calls import avoidances
from jayseam.calls import choicemetrics
from jayseam.calls import errors
from jayseam.calls import pools

_EXPECTED_TIME = 'expected_time'


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
        self._pools = pools.PoolCache(own_zone)
        self._avoidances = avoidances.AvoidanceTable()
        self._choice_count = 0
        self._route_table: tuple[Any, routing.matching.RouteTable] | None = None

    @property
    def own_zone(self) -> str:
        """Zone of this node."""
        return self._own_zone

    @property
    def strategy(self) -> str:
        """Name of the selection strategy."""
        return self._strategy

    @property
    def estimates_time(self) -> bool:
        """Whether the strategy decides by expected times."""
        return self._by_expected_time

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
        self._pools.clear()

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
        pool = self._pools.get(preset, view, service, self._zone_return_times)
        usable, full_avoided = self._list_usable(
            pool, tried_vms, now, needs, profile
        )
        if not usable.groups:
            return None
        self._choice_count += 1
        decision = self._select(
            usable,
            self._own_zone,
            now,
            [self._draw() for _ in range(routing.selection.DRAWS_PER_CHOICE)],
            self._choice_count,
            workspace,
            self._build_outlook(self._capacities, service, profile),
        )
        choicemetrics.count_choice(decision.reason, full_avoided)
        vm = decision.candidate.vm
        incarnation = view.members[vm].incarnation
        return Choice(
            vm, incarnation, service, decision.reason, decision.expected_s
        )

    def preview(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        now: float,
        draws: Sequence[Sequence[float]],
        own_zone: str = '',
        workspace: str = '',
        profile: CallProfile | None = None,
    ) -> list[routing.selection.Decision]:
        """Returns what `choose` would decide for a first attempt.

        Nothing is recorded.

        Args:
          preset: Preset in force.
          service: Service of the call.
          view: Members known.
          now: Present time in seconds.
          draws: For each choice the random numbers that it uses.
          own_zone: Zone at which the call enters; by default this node's.
          workspace: Workspace of the call.
          profile: What ``expected_time`` has to know of the call.

        Returns:
          The decision of each choice; an empty list if no VM can be chosen.
        """
        pool = self._build_pool(preset, view, service)
        usable, _ = self._list_usable(pool, (), now, None, profile)
        if not usable.groups:
            return []
        outlook = self._build_outlook(self._capacities.copy(), service, profile)
        return [
            self._select(
                usable,
                own_zone or self._own_zone,
                now,
                numbers,
                self._choice_count + 1 + position,
                workspace,
                outlook,
            )
            for position, numbers in enumerate(draws)
        ]

    def estimate_times(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        now: float,
        own_zone: str = '',
        profile: CallProfile | None = None,
    ) -> dict[str, float]:
        """Returns the expected times of a dry run by VM, in seconds.

        They include VMs that are passed over for a while; there are none if
        the strategy doesn't estimate times. The arguments are those of
        `preview`.
        """
        pool = self._build_pool(preset, view, service)
        outlook = self._build_outlook(self._capacities.copy(), service, profile)
        if outlook is None:
            return {}
        return routing.expectations.estimate_times(
            pool,
            self._list_usable(pool, (), now, None, profile)[0],
            outlook,
            self._loads,
            own_zone or self._own_zone,
            now,
        )

    def list_exclusions(
        self,
        now: float,
        workspace: str = '',
        profile: CallProfile | None = None,
    ) -> dict[str, avoidances.Exclusion]:
        """Returns the VMs that `choose` passes over for a while, and why."""
        # Covers each refusal that is remembered for the workspace.
        needs = routing.refusals.CallNeeds(workspace, sys.maxsize, 0.0)
        exclusions = {
            vm: avoidances.Exclusion(
                'full', 'refused a call for want of room; not retried'
            )
            for vm in self._refusals.list_full_vms(needs, now)
        }
        for vm in self._list_full(profile, now):
            exclusions[vm] = avoidances.Exclusion(
                'no-room', 'refused such a call for want of room'
            )
        for vm, until in self._avoidances.list_times(now).items():
            exclusions[vm] = avoidances.Exclusion(
                'avoided',
                f'failed or refused a call; avoided for {until - now:.2f} s',
            )
        for vm in self._list_unresponsive(now):
            exclusions[vm] = avoidances.Exclusion(
                'unresponsive', 'has an unanswered ping; never chosen'
            )
        return exclusions

    def _list_usable(
        self,
        pool: routing.selection.CandidatePool,
        tried_vms: Collection[str],
        now: float,
        needs: routing.refusals.CallNeeds | None,
        profile: CallProfile | None,
    ) -> tuple[routing.selection.CandidatePool, bool]:
        """Returns the candidates without those that are excluded now.

        Also returns whether VMs without room are among the excluded.
        """
        excluded = self._list_unresponsive(now).union(tried_vms)
        if needs is not None:
            excluded |= self._refusals.list_full_vms(needs, now)
        avoided = excluded.union(self._avoidances.list_times(now))
        full = self._list_full(profile, now)
        usable = pool.exclude(avoided | full) if avoided | full else pool
        full_avoided = bool(full and usable.groups)
        if full and not full_avoided:
            usable = pool.exclude(avoided) if avoided else pool
        if not usable.groups:
            # An attempt at an avoided VM is better than refusing the call.
            usable = pool.exclude(excluded) if excluded else pool
        return usable, full_avoided

    def _list_full(self, profile: CallProfile | None, now: float) -> set[str]:
        """Returns the VMs that ``expected_time`` passes over as full."""
        if not self._by_expected_time or profile is None:
            return set()
        return self._refusals.list_full_vms(profile.needs, now)

    def _select(
        self,
        usable: routing.selection.CandidatePool,
        own_zone: str,
        now: float,
        draws: Sequence[float],
        turn: int,
        workspace: str,
        outlook: routing.expectations.Outlook | None,
    ) -> routing.selection.Decision:
        """Returns the decision of the strategy of this node."""
        view = routing.selection.LoadView(
            self._loads,
            workspace,
            now,
            self._spill_load,
            self._spill_gain,
            outlook,
        )
        return routing.selection.decide(
            usable, view, own_zone, draws, turn, self._strategy
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
        self._avoidances.remove(vm)
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
        if not self._by_expected_time:
            return []
        return routing.digests.collect(self._loads, self._pools.zone_vms, now)

    def merge_reports(self, items: Collection[Any], now: float) -> None:
        """Takes over newer loads from the digest in a reply."""
        if self._by_expected_time and items:
            merged = routing.digests.merge(
                self._loads, self._speeds, items, self._pools.zone_vms, now
            )
            choicemetrics.count_merged_loads(merged)

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
                choicemetrics.count_reset()

    def record_failure(self, vm: str, now: float) -> None:
        """Avoids a VM for a while after it failed to answer."""
        self._avoidances.add(vm, now + avoidances.AVOID_UNREACHABLE_S)

    def record_refusal(self, vm: str, now: float) -> None:
        """Avoids a VM briefly after it refused a call."""
        self._avoidances.add(vm, now + avoidances.AVOID_REFUSING_S)

    def record_full(
        self,
        vm: str,
        needs: routing.refusals.CallNeeds,
        wait_s: float,
        now: float,
    ) -> None:
        """Records that a VM had no room in its queue for a call."""
        self._refusals.add_refusal(vm, needs, wait_s, now)

    def explain(
        self, preset: Any, view: membership.views.View, route: Any, now: float
    ) -> list[routing.selection.Explanation]:
        """Returns for each VM of a route's services whether it is usable."""
        return [
            explanation
            for service, _ in route.targets
            for explanation in routing.selection.explain(
                preset,
                pools.list_members(preset, view, service),
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

    def _build_pool(
        self, preset: Any, view: membership.views.View, service: str
    ) -> routing.selection.CandidatePool:
        """Builds a pool for a dry run.

        The digest of loads covers cached pools, so that a dry run must not add
        the pool of a service that this node doesn't call.
        """
        return pools.build_pool(preset, view, service, self._zone_return_times)

    def _build_outlook(
        self,
        capacities: routing.expectations.CapacityCache,
        service: str,
        profile: CallProfile | None,
    ) -> routing.expectations.Outlook | None:
        if not self._by_expected_time:
            return None
        outlook = routing.expectations.Outlook(
            capacities, service, zone_price=self._zone_price
        )
        if profile is None:
            return outlook
        return attrs.evolve(
            outlook, kind=profile.kind, time_left_s=profile.needs.time_left_s
        )
