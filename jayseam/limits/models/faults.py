"""Faults injected into the model, by scenarios or at random in tests."""

from jayseam.limits.models import fleets

_KINDS = ('kill', 'kill', 'many', 'pause', 'pause', 'cut', 'island', 'island')


def do_nothing(_: fleets.Model) -> None:
    """Injects no fault."""


def kill_owner(model: fleets.Model) -> None:
    """Kills the node with the highest leased rate, which is the worst case."""

    def sum_owned_rates(vm: str) -> float:
        owned = model.nodes[vm].strategy.pools
        return sum(
            share.rate_per_s for p in owned for share in p.totals().values()
        )

    model.kill(max(model.nodes, key=sum_owned_rates))


def cut_zone(model: fleets.Model) -> None:
    """Cuts the first zone off from all others."""
    zones = sorted(set(model.zones.values()))
    for other in zones[1:]:
        model.cut(zones[0], other)


def cut_bridge(model: fleets.Model) -> None:
    """Cuts the first two zones off from each other only."""
    first, second = sorted(set(model.zones.values()))[:2]
    model.cut(first, second)


def inject_faults(model: fleets.Model, until: float) -> None:
    """Schedules random kills, restarts, pauses and cuts up to a time.

    A killed process is replaced by a process at the same position, either on
    the same VM or on a new one.
    """
    rng = model.random
    fault_at = model.now
    while fault_at < until:
        fault_at += rng.expovariate(0.5)
        kind = rng.choice(_KINDS)
        model.schedule(fault_at, lambda k=kind: _inject(model, k))


def _inject(model: fleets.Model, kind: str) -> None:
    rng = model.random
    names = sorted(model.nodes)
    if not names:
        return
    if kind == 'pause':
        model.pause(rng.choice(names), rng.uniform(0.2, 6.0))
    elif kind == 'island':
        model.isolate(rng.sample(names, rng.randint(1, len(names))))
        model.schedule(model.now + rng.uniform(0.5, 6.0), model.heal)
    elif kind == 'cut':
        zones = sorted(set(model.zones.values()))
        cut_off = rng.choice(zones)
        for other in zones:
            if other != cut_off:
                model.cut(cut_off, other)
        model.schedule(model.now + rng.uniform(0.5, 9.0), model.heal)
    else:
        count = 1 if kind == 'kill' else rng.randint(1, len(names))
        for vm in rng.sample(names, min(count, len(names))):
            _replace(model, vm)


def _replace(model: fleets.Model, vm: str) -> None:
    upstream = model.nodes[vm].member.upstream
    model.kill(vm)
    successor = vm if model.random.random() < 0.5 else f'{vm}+'
    model.schedule(
        model.now + model.random.uniform(0.05, 4.0),
        lambda: model.start(successor, upstream),
    )
