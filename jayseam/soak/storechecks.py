"""Checks of what callers and backend servers saw on the operators' platform.

Bounds hold for nodes in touch: the node and the store had no disruption for
some seconds. A change that a process must have had in force while it was in
touch has to stay in force until the process ends, also in later disruptions.
"""

import bisect
import collections
import functools
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import attrs

from jayseam.core import registries
from jayseam.soak import checks
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.soak import probes
from jayseam.standins import platformbackend

# Bounds of the platform, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
RECOVER_S = 15.0
_ORDER_BOUNDS_S = {'evacuated': 5.0, 'draining': 2.0}
# Time after which a node must keep to a version whose effect was seen.
_ROLLBACK_SLACK_S = 0.25
# Age of the last confirmation from which on a node can't know whether its
# configuration is the newest.
_DOUBT_S = REVOKE_S + 1.0
# Calm time after which a node serves, least number of requests from which on
# this is judged, and least share that must be served.
_SERVING_S = STABLE_WINDOW_S + CONFIG_APPLY_S
_MIN_JUDGED_PROBES = 5
_MIN_SERVED_SHARE = 0.5
_MAX_DETAILS = 10
_INFINITY = float('inf')


@attrs.frozen
class Observations:
    """The input of all checks.

    Attributes:
      sent_probes: Requests of callers.
      arrivals: Requests that reached the backend servers, by address.
      versions: Configuration versions that were sent, in order.
      orders: Evacuations and drains.
      states: What the store contained, in order.
      core_disruptions: Disruptions of the store.
      boots: Lifetimes of the node processes by address.
      node_disruptions: Disruptions of the nodes by address.
      unread_returns: Returns of the store after which it was not read in time.
      started: Start of the load in seconds, from which details count.
    """

    sent_probes: Sequence[probes.Probe]
    arrivals: Mapping[str, Sequence[platformbackend.Arrival]]
    versions: Sequence[operators.Version]
    orders: Sequence[operators.Order]
    states: Sequence[operators.StoreState]
    core_disruptions: Sequence[fleets.Span]
    boots: Mapping[str, Sequence[fleets.Span]]
    node_disruptions: Mapping[str, Sequence[fleets.Span]]
    unread_returns: Sequence[float] = ()
    started: float = 0.0

    def describe(self, probe: probes.Probe) -> str:
        """Returns where and when a request was sent, and its target."""
        sent_s = probe.call.sent - self.started
        key = probe.key or 'no key'
        return f'{probe.call.target} {sent_s:.2f} s: {probe.route} with {key}'


Check = Callable[[Observations], Iterable[str]]

registry: registries.Registry[Check] = registries.Registry('store check')


def run_checks(observations: Observations) -> list[checks.Finding]:
    """Returns the findings of all checks, at most 10 for each check."""
    return [
        checks.Finding(name, detail)
        for name in registry.list_names()
        for detail in list(registry.get(name)(observations))[:_MAX_DETAILS]
    ]


# In touch.


def find_first_in_touch(
    disruptions: Iterable[fleets.Span], at: float, window_s: float
) -> float:
    """Returns the first time from ``at`` on with no disruption in a window.

    >>> find_first_in_touch([fleets.Span(1.0, 2.0)], 0.5, 3.0)
    0.5
    >>> find_first_in_touch([fleets.Span(1.0, 2.0)], 1.5, 3.0)
    5.0
    """
    for span in sorted(disruptions, key=lambda span: span.start):
        if span.start <= at < span.end + window_s:
            at = span.end + window_s
    return at


def list_spans(
    states: Sequence[operators.StoreState],
    contains: Callable[[operators.StoreState], bool],
) -> list[fleets.Span]:
    """Returns the periods in which the store contained something."""
    spans: list[fleets.Span] = []
    is_contained = False
    for state in states:
        if contains(state) and not is_contained:
            spans.append(fleets.Span(state.at))
        elif is_contained and not contains(state):
            spans[-1].end = state.at
        is_contained = contains(state)
    return spans


def compute_due(
    observations: Observations,
    ip: str,
    boot: fleets.Span,
    spans: Iterable[fleets.Span],
    bound_s: float,
) -> float:
    """Returns the time from which a process must keep to a change.

    Args:
      observations: The run.
      ip: Address of the node.
      boot: Lifetime of the process.
      spans: Periods in which the change was confirmed.
      bound_s: Seconds after a confirmation in which it must be in force.

    Returns:
      The time in seconds; infinite if the process was never in touch.
    """
    disruptions = [
        *observations.core_disruptions,
        *observations.node_disruptions[ip],
    ]
    due = _INFINITY
    for span in spans:
        earliest = max(span.start + bound_s, boot.start + STABLE_WINDOW_S)
        at = find_first_in_touch(disruptions, earliest, STABLE_WINDOW_S)
        if at < min(span.end, boot.end):
            due = min(due, at)
    return due


def _find_boot(
    boots: Sequence[fleets.Span], probe: probes.Probe
) -> fleets.Span | None:
    """Returns the process that got a request; None if it isn't known."""
    for boot in boots:
        if boot.start <= probe.call.sent <= boot.end:
            return boot
    return None


def _list_runs(observations: Observations) -> dict[str, float]:
    """Returns the time of the first run of each request that ran."""
    runs: dict[str, float] = {}
    for arrivals in observations.arrivals.values():
        for arrival in arrivals:
            if arrival.ran:
                at = runs.get(arrival.request_id, arrival.at)
                runs[arrival.request_id] = min(at, arrival.at)
    return runs


# Configurations.


def _allows(version: operators.Version, probe: probes.Probe) -> bool:
    """Returns whether a version allows a request to run."""
    if probe.route in version.public_routes:
        return True
    return probe.route in version.routes and probe.key in version.keys


def _is_consistent(
    version: operators.Version, probe: probes.Probe, has_run: bool
) -> bool:
    """Returns whether the outcome of a request may come of a version."""
    if has_run:
        return _allows(version, probe)
    if probe.call.status == 401:
        return probe.key not in version.keys
    if probe.call.status in (403, 404):
        return probe.route not in version.routes | version.public_routes
    return True


@registry.register('configuration')
def _check_configurations(observations: Observations) -> Iterator[str]:
    """No node handles a request as only an older version allows.

    Older than one that must be in force at the node, or than one whose effect
    was seen there before.
    """
    runs = _list_runs(observations)
    by_boot = collections.defaultdict(list)
    for probe in observations.sent_probes:
        boot = _find_boot(observations.boots[probe.call.target], probe)
        if boot is not None:
            by_boot[(probe.call.target, boot.start, boot.end)].append(probe)
    for (ip, start, end), boot_probes in by_boot.items():
        boot = fleets.Span(start, end)
        yield from _check_boot(observations, ip, boot, boot_probes, runs)


def _check_boot(
    observations: Observations,
    ip: str,
    boot: fleets.Span,
    boot_probes: Sequence[probes.Probe],
    runs: Mapping[str, float],
) -> Iterator[str]:
    """Checks the requests that one process got."""
    # Times from which on the process must keep to a version.
    floors = [
        (_compute_version_due(observations, ip, boot, version), version.number)
        for version in observations.versions
    ]
    for probe in sorted(boot_probes, key=lambda p: p.call.ended):
        has_run = probe.call.echo in runs
        if not has_run and probe.call.status not in (401, 403, 404):
            continue
        floor = max((n for at, n in floors if at < probe.call.sent), default=0)
        candidates = [
            version
            for version in observations.versions
            if version.number >= floor and version.sent_at <= probe.call.ended
        ]
        matching = [
            v.number for v in candidates if _is_consistent(v, probe, has_run)
        ]
        if not matching:
            outcome = 'ran' if has_run else f'got {probe.call.status}'
            yield (
                f'{observations.describe(probe)} {outcome}, which r{floor} and'
                ' all later versions rule out'
            )
        elif min(matching) > floor:
            floors.append((probe.call.ended + _ROLLBACK_SLACK_S, min(matching)))


def _compute_version_due(
    observations: Observations,
    ip: str,
    boot: fleets.Span,
    version: operators.Version,
) -> float:
    spans = list_spans(
        observations.states, lambda state: state.version >= version.number
    )
    return compute_due(observations, ip, boot, spans, CONFIG_APPLY_S)


@registry.register('withdrawn-key')
def _check_withdrawn_keys(observations: Observations) -> Iterator[str]:
    """No request with a withdrawn key runs later than the platform allows."""
    runs = _list_runs(observations)

    @functools.cache
    def list_withdrawals(key: str) -> list[fleets.Span]:
        numbers = [v.number for v in observations.versions if key in v.keys]
        if not numbers:
            return []
        last = max(numbers)
        return list_spans(observations.states, lambda s: s.version > last)

    for probe in observations.sent_probes:
        if not probe.key or probe.call.echo not in runs:
            continue
        for span in list_withdrawals(probe.key):
            late_s = probe.call.sent - span.start
            if late_s > REVOKE_S and probe.call.sent < span.end:
                yield (
                    f'{observations.describe(probe)} ran {late_s:.2f} s after'
                    ' the withdrawal was confirmed'
                )


@registry.register('denied-in-doubt')
def _check_denied_in_doubt(observations: Observations) -> Iterator[str]:
    """No node that can't know better says that a request is not allowed."""
    for probe in observations.sent_probes:
        if probe.call.status not in (401, 403, 404):
            continue
        is_in_doubt = any(
            span.start < probe.call.sent - _DOUBT_S
            and probe.call.ended < span.end
            for span in observations.core_disruptions
        )
        may_be_in_force = any(
            _allows(version, probe)
            for version in _list_possible(observations, probe)
        )
        if is_in_doubt and may_be_in_force:
            yield (
                f'{observations.describe(probe)} got {probe.call.status} while'
                ' the store was away'
            )


def _list_possible(
    observations: Observations, probe: probes.Probe
) -> list[operators.Version]:
    """Returns the versions from the one in the store on that were sent."""
    times = [state.at for state in observations.states]
    index = bisect.bisect_right(times, probe.call.sent) - 1
    stored = observations.states[index].version if index >= 0 else 0
    return [
        version
        for version in observations.versions
        if version.number >= stored and version.sent_at <= probe.call.sent
    ]


# Orders.


@registry.register('orders')
def _check_orders(observations: Observations) -> Iterator[str]:
    """No evacuated or draining backend server gets requests."""
    by_id = {probe.call.echo: probe for probe in observations.sent_probes}

    @functools.cache
    def find_due(number: int, ip: str, start: float, end: float) -> float:
        order = observations.orders[number]
        spans = list_spans(
            observations.states,
            lambda state: order.name in getattr(state, order.kind),
        )
        # Earlier orders may have had the same name.
        spans = [s for s in spans if s.end > order.sent_at]
        for span in spans:
            span.start = max(span.start, order.sent_at)
        bound_s = _ORDER_BOUNDS_S[order.kind]
        boot = fleets.Span(start, end)
        return compute_due(observations, ip, boot, spans, bound_s)

    for number, order in enumerate(observations.orders):
        for arrival in _list_arrivals(observations, order):
            probe = by_id.get(arrival.request_id)
            if probe is None:
                continue
            ip = probe.call.target
            boot = _find_boot(observations.boots[ip], probe)
            if boot is None:
                continue
            due = find_due(number, ip, boot.start, boot.end)
            if arrival.at > due:
                yield (
                    f'{observations.describe(probe)} reached a server'
                    f' that is {order.kind} ({order.name},'
                    f' {arrival.at - order.sent_at:.2f} s after the order,'
                    f' {arrival.at - due:.2f} s late)'
                )


def _list_arrivals(
    observations: Observations, order: operators.Order
) -> Iterator[platformbackend.Arrival]:
    for ip in order.ips:
        for arrival in observations.arrivals[ip]:
            if arrival.ran and order.sent_at < arrival.at < order.ended_at:
                yield arrival


# Service.


@registry.register('serving')
def _check_serving(observations: Observations) -> Iterator[str]:
    """In calm times every node serves requests that are always allowed."""
    for ip, boots in observations.boots.items():
        served = collections.defaultdict(list)
        disruptions = [
            *observations.core_disruptions,
            *observations.node_disruptions[ip],
            *(fleets.Span(boot.start, boot.start) for boot in boots),
        ]
        for probe in observations.sent_probes:
            call = probe.call
            if call.target != ip or probe.key != probes.LASTING_KEY:
                continue
            if probe.route not in ('view', 'book'):
                continue
            past = [s for s in disruptions if s.start <= call.ended]
            last = max((span.end for span in past), default=0.0)
            if call.sent > last + _SERVING_S:
                served[last].append(call.status == 200)
        for last, results in served.items():
            share = sum(results) / len(results)
            if len(results) >= _MIN_JUDGED_PROBES and share < _MIN_SERVED_SHARE:
                yield (
                    f'{ip}: {sum(results)} of {len(results)} requests served'
                    f' after {last - observations.started:.2f} s, in calm'
                )


@registry.register('read-again')
def _check_reads(observations: Observations) -> Iterator[str]:
    """After its return, the store is read in time."""
    for returned in observations.unread_returns:
        at = returned - observations.started
        yield f'no node read the store in time after its return at {at:.2f} s'


@registry.register('public')
def _check_public_routes(observations: Observations) -> Iterator[str]:
    """A disruption of the store alone excuses no loss without keys."""
    disruptions = [
        span
        for spans in observations.node_disruptions.values()
        for span in spans
    ]
    for order in observations.orders:
        for at in (order.sent_at, order.ended_at):
            disruptions.append(fleets.Span(at, at))
    for probe in observations.sent_probes:
        call = probe.call
        if probe.key or call.status == 200:
            continue
        start = call.sent - _SERVING_S
        # A node that starts while the store is away depends on its peers.
        has_started = any(
            boot.start <= call.ended and call.sent < boot.start + RECOVER_S
            for boot in observations.boots[call.target][1:]
        )
        if not has_started and not any(
            span.overlaps(start, call.ended) for span in disruptions
        ):
            yield f'{observations.describe(probe)}: {call.outcome}'
