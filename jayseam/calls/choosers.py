"""Chooses routes and VMs for calls, by the configuration in force."""

import random
from collections.abc import Callable, Collection
from typing import Any

import attrs

from jayseam import membership
from jayseam import routing
from jayseam.calls import errors

# A VM that failed to answer is passed over for this long, so that a call's
# retry and the calls after it don't run into the same silence.
_AVOID_S = 2.0
# One that turned a call away has no room for about the time of a call.
_AVOID_REFUSING_S = 0.15


@attrs.frozen
class Choice:
    """The ingress for one attempt."""

    vm: str
    incarnation: int
    service: str


@attrs.frozen(eq=False)
class _Pools:
    """The pools of one pair of preset and view, built when first asked for."""

    preset: Any
    view: membership.views.View
    by_service: dict[str, routing.selection.Pool] = attrs.field(factory=dict)


class Chooser:
    """Owns the load table, the shares of returned zones and the pools.

    Args:
      own_zone: Zone of this node.
      strategy: Name of a selection strategy.
      draw: Returns a random number in [0, 1).
      spill_load: Load from which the own zone is left.
      spill_gain: Load by which a backend server elsewhere must be under that
        of the own zone; None if it need not.
      list_unresponsive: Returns the VMs that leave a ping unanswered at a time
        in seconds. A call sent to one would probably be lost, and its caller
        couldn't tell whether it ran, so they are no choice.
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
        self._rooms = routing.rooms.RoomTable()
        self._returns: routing.zones.Returns = {}
        self._in_service: frozenset[str] | None = None
        self._pools: _Pools | None = None
        self._avoided: dict[str, float] = {}
        self._turn = 0
        self._table: tuple[Any, routing.matching.RouteTable] | None = None

    @property
    def loads(self) -> routing.loads.LoadTable:
        """Loads of the VMs to which this node sends calls."""
        return self._loads

    def set_preset(self, preset: Any, now: float) -> None:
        """Notes which zones a new preset takes out or brings back."""
        after = routing.zones.list_in_service(preset)
        self._returns = routing.zones.update_returns(
            self._returns, self._in_service, after, now
        )
        self._in_service = after
        self._pools = None

    def match_route(
        self, preset: Any, method: str, path: str, host: str = ''
    ) -> Any:
        """Returns the route of a call.

        Raises:
          CallError: If there is none.
        """
        try:
            return self._find_table(preset).match(path, method, host)
        except routing.errors.MethodNotAllowedError as error:
            raise errors.MethodError(str(error)) from error
        except routing.errors.NoRouteError as error:
            raise errors.NoRouteError(str(error)) from error
        except routing.errors.BadPathError as error:
            raise errors.BadRequestError(str(error)) from error

    def draw_service(self, route: Any) -> str:
        """Returns the service of a call in proportion to the route's weights.

        All attempts of a call go to one service: what doesn't fit there must
        not shift the weights that operators gave.
        """
        return routing.matching.choose_service(route.targets, self._draw())

    def choose(
        self,
        preset: Any,
        service: str,
        view: membership.views.View,
        tried: Collection[str],
        now: float,
        workspace: str = '',
        need: routing.rooms.Need | None = None,
    ) -> Choice | None:
        """Returns the ingress for the next attempt, or None if there is none.

        Args:
          preset: Preset in force.
          service: Service of the call, from `draw_service`.
          view: Members known.
          tried: VMs that this call has tried.
          now: Present time in seconds.
          workspace: Workspace of the call.
          need: What room the call needs; VMs that have just refused as much are
            no choice then. None for a first attempt, which goes out anyway.
        """
        pool = self._find_pool(preset, view, service)
        barred = self._list_unresponsive(now).union(tried)
        if need is not None:
            barred |= self._rooms.list_full(need, now)
        excluded = barred | self._list_avoided(now)
        narrowed = pool.exclude(excluded) if excluded else pool
        if not narrowed.groups:
            # Nothing else is left: an avoided VM is better than a refusal.
            narrowed = pool.exclude(barred) if barred else pool
        if not narrowed.groups:
            return None
        self._turn += 1
        candidate = routing.selection.choose(
            narrowed,
            self._loads,
            self._own_zone,
            now,
            [self._draw() for _ in range(routing.selection.DRAWS)],
            self._turn,
            self._strategy,
            workspace,
            self._spill_load,
            self._spill_gain,
        )
        record = view.members[candidate.vm]
        return Choice(candidate.vm, record.incarnation, service)

    def begin(self, vm: str, workspace: str = '') -> None:
        """Counts an attempt sent to a VM."""
        self._loads.start(vm, workspace)

    def end(self, vm: str, workspace: str = '') -> None:
        """Counts the end of an attempt."""
        self._loads.finish(vm, workspace)

    def report_load(
        self, vm: str, workspace: str, report: routing.loads.Report, now: float
    ) -> None:
        """Stores the load that came with a reply to a call of a workspace."""
        self._loads.report(vm, workspace, report, now)
        self._avoided.pop(vm, None)

    def record_failure(self, vm: str, now: float) -> None:
        """Passes over a VM for a while after it failed to answer."""
        self._avoid(vm, now + _AVOID_S)

    def record_refusal(self, vm: str, now: float) -> None:
        """Passes over a VM for a moment after it turned a call away."""
        self._avoid(vm, now + _AVOID_REFUSING_S)

    def record_full(
        self, vm: str, need: routing.rooms.Need, wait_s: float, now: float
    ) -> None:
        """Notes that a VM had no room for a call."""
        self._rooms.mark(vm, need, wait_s, now)

    def _avoid(self, vm: str, until: float) -> None:
        self._avoided[vm] = max(until, self._avoided.get(vm, until))

    def explain(
        self, preset: Any, view: membership.views.View, route: Any, now: float
    ) -> list[routing.selection.Explanation]:
        """Tells for each VM of a route's services whether it is usable."""
        return [
            explanation
            for service, _ in route.targets
            for explanation in routing.selection.explain(
                preset,
                _list_members(preset, view, service),
                service,
                self._returns,
                self._loads,
                now,
            )
        ]

    def _find_table(self, preset: Any) -> routing.matching.RouteTable:
        if self._table is None or self._table[0] is not preset:
            table = routing.matching.build_table(preset.routes)
            self._table = (preset, table)
        return self._table[1]

    def _find_pool(
        self, preset: Any, view: membership.views.View, service: str
    ) -> routing.selection.Pool:
        pools = self._pools
        if (
            pools is None
            or pools.preset is not preset
            or pools.view is not view
        ):
            pools = self._pools = _Pools(preset, view)
        pool = pools.by_service.get(service)
        if pool is None:
            pool = routing.selection.build_pool(
                preset,
                _list_members(preset, view, service),
                service,
                self._returns,
            )
            pools.by_service[service] = pool
        return pool

    def _list_avoided(self, now: float) -> set[str]:
        if not self._avoided:
            return set()
        self._avoided = {
            vm: until for vm, until in self._avoided.items() if until > now
        }
        return set(self._avoided)


def _list_members(
    preset: Any, view: membership.views.View, service: str
) -> list[membership.records.MemberRecord]:
    """Returns the members at the positions of a service.

    The preset decides which service a position has; records may lag behind.
    """
    return [
        record
        for upstream in preset.upstreams_by_service.get(service, ())
        for record in view.at_upstream(upstream.name)
    ]
