"""Prints a comparison of the limit strategies as JSON lines."""

import argparse
import json
import timeit
from collections.abc import Sequence

import attrs

from jayseam.limits import strategies
from jayseam.limits import token_caches
from jayseam.limits.models import fleets
from jayseam.limits.models import scenarios
from jayseam.limits.models import weightings


def measure_admit_us(seed: int = 1, calls: int = 100_000) -> float:
    """Returns the processor time of one admitted call, in microseconds."""
    model = fleets.Model(seed, 'static', nodes=1, zones=1)
    model.run(scenarios.WARM_UP_S)
    node = next(iter(model.nodes.values()))
    cache = node.strategy._entry.get_cache('large-1')
    cache.add_batch(token_caches.Batch('x', 1, 1e9, float('inf')))
    now = model._local_time(node)
    spent = timeit.timeit(
        lambda: node.strategy.admit('large-1', 1.0, now), number=calls
    )
    return 1e6 * spent / calls


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints a comparison as JSON lines."""
    parser = argparse.ArgumentParser(description='Compare limit strategies.')
    parser.add_argument('--nodes', type=int, default=12)
    parser.add_argument('--zones', type=int, default=3)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--duration', type=float, default=10.0)
    parser.add_argument(
        '--strategies',
        nargs='+',
        metavar='NAME',
        help='default: all',
        choices=strategies.registry.list_names(),
    )
    parser.add_argument(
        '--weights',
        default='none',
        choices=weightings.registry.list_names(),
        help='zone weights of the preset, derived from the skew of the load',
    )
    options = parser.parse_args(arguments)
    results = scenarios.compare_strategies(
        options.seed,
        options.nodes,
        options.zones,
        duration_s=options.duration,
        names=options.strategies,
        weighting=options.weights,
    )
    for result in results:
        print(json.dumps(attrs.asdict(result)))
    print(json.dumps({'admit_us': round(measure_admit_us(), 2)}))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
