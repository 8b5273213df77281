"""Chooses routes and VMs for calls from the configuration in force."""

import random
import sys
from collections.abc import Callable, Collection, Sequence
from typing import Any

import attrs

from jayseam import membership
from jayseam import routing
from jayseam.calls import errors

# A VM that failed to answer is avoided for this long, so that the call's retry
# and later calls don't wait for the same unresponsive VM.
_AVOID_UNREACHABLE_S = 2.0
# A VM that refused a call has no room for about the duration of one call.
_AVOID_REFUSING_S = 0.15


@attrs.frozen
class Choice:
    """The ingress chosen for one attempt."""

    vm: str
    incarnation: int
    service: str


@attrs.frozen
class Exclusion:
    """Why a VM is passed over for a while.

    Attributes:
      kind: ``unresponsive``, ``avoided`` (used only if there is no other) or
        ``full`` (first attempts still go there).
      reason: Explanation for an operator.
    """

    kind: str
    reason: str


@attrs.frozen(eq=False)
class _PoolCache:
    """Pools of one pair of preset and view, each built on first use."""

    preset: Any
    view: membership.views.View
    by_service: dict[str, routing.selection.CandidatePool] = attrs.field(
        factory=dict
    )


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
    ):
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
    def own_zone(self) -> str:
        """Zone of this node."""
        return self._own_zone

    @property
    def strategy(self) -> str:
        """Name of the selection strategy."""
        return self._strategy

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
        """
        usable = self._list_usable(preset, service, view, tried_vms, now, needs)
        if not usable.groups:
            return None
        self._choice_count += 1
        candidate = self._select(
            usable,
            self._own_zone,
            now,
            [self._draw() for _ in range(routing.selection.DRAWS_PER_CHOICE)],
            self._choice_count,
            workspace,
        )
        record = view.members[candidate.vm]
        return Choice(candidate.vm, record.incarnation, service)

    def rehearse(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        now: float,
        draws: Sequence[Sequence[float]],
        own_zone: str = '',
        workspace: str = '',
    ) -> list[str]:
        """Returns the VMs that `choose` would return for a first attempt.

        The decision is the same as that of `choose`; nothing is recorded.

        Args:
          preset: Preset in force.
          service: Service of the call.
          view: Members known.
          now: Present time in seconds.
          draws: For each choice the random numbers that it uses.
          own_zone: Zone at which the call enters; by default this node's.
          workspace: Workspace of the call.

        Returns:
          The VM of each choice; an empty list if no VM can be chosen.
        """
        usable = self._list_usable(preset, service, view, (), now, None)
        if not usable.groups:
            return []
        zone = own_zone or self._own_zone
        return [
            self._select(
                usable,
                zone,
                now,
                numbers,
                self._choice_count + 1 + position,
                workspace,
            ).vm
            for position, numbers in enumerate(draws)
        ]

    def list_exclusions(
        self, now: float, workspace: str = ''
    ) -> dict[str, Exclusion]:
        """Returns the VMs that `choose` passes over for a while, and why."""
        # Covers each refusal that is remembered for the workspace.
        needs = routing.refusals.CallNeeds(workspace, sys.maxsize, 0.0)
        exclusions = {
            vm: Exclusion(
                'full', 'refused a call for want of room; not retried'
            )
            for vm in self._refusals.list_full_vms(needs, now)
        }
        for vm in self._list_avoided(now):
            left_s = self._avoided_until[vm] - now
            exclusions[vm] = Exclusion(
                'avoided',
                f'failed or refused a call; avoided for {left_s:.2f} s',
            )
        for vm in self._list_unresponsive(now):
            exclusions[vm] = Exclusion(
                'unresponsive', 'has an unanswered ping; never chosen'
            )
        return exclusions

    def _list_usable(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        tried_vms: Collection[str],
        now: float,
        needs: routing.refusals.CallNeeds | None,
    ) -> routing.selection.CandidatePool:
        """Returns the candidates without those that are excluded now."""
        pool = self._get_pool(preset, view, service)
        excluded = self._list_unresponsive(now).union(tried_vms)
        if needs is not None:
            excluded |= self._refusals.list_full_vms(needs, now)
        excluded_or_avoided = excluded | self._list_avoided(now)
        usable = (
            pool.exclude(excluded_or_avoided) if excluded_or_avoided else pool
        )
        if usable.groups:
            return usable
        # An attempt at an avoided VM is better than refusing the call.
        return pool.exclude(excluded) if excluded else pool

    def _select(
        self,
        usable: routing.selection.CandidatePool,
        own_zone: str,
        now: float,
        draws: Sequence[float],
        turn: int,
        workspace: str,
    ) -> routing.selection.Candidate:
        """Returns the candidate that the strategy of this node selects."""
        return routing.selection.choose(
            usable,
            self._loads,
            own_zone,
            now,
            draws,
            turn,
            self._strategy,
            workspace,
            self._spill_load,
            self._spill_gain,
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
    ) -> None:
        """Stores the load that came with a reply to a call of a workspace."""
        self._loads.record_report(vm, workspace, report, now)
        self._avoided_until.pop(vm, None)

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
        return pool

    def _list_avoided(self, now: float) -> set[str]:
        if not self._avoided_until:
            return set()
        self._avoided_until = {
            vm: until
            for vm, until in self._avoided_until.items()
            if until > now
        }
        return set(self._avoided_until)


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
