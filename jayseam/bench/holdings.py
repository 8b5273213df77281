"""Memory of what a node holds, by the number of things held.

Each kind of state is measured in a process of its own, which fills it to
several sizes and prints the growth of its private memory.
"""

import argparse
import gc
import json
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import gevent

from jayseam import calls
from jayseam import links
from jayseam import membership
from jayseam.bench import experiments
from jayseam.bench import figures
from jayseam.bench import processes
from jayseam.core import registries
from jayseam.presets import documents
from jayseam.presets import samples
from jayseam.presets import verification

Filler = Callable[[int], Any]

FILLERS: registries.Registry[Filler] = registries.Registry('kind of state')

_SECRET = 'bench-secret-0123456789'
_SETTLE_S = 0.5
_TIMEOUT_S = 120.0
_ANSWER_BYTES = 300
_SIZES = {
    'idempotency record': (5_000, 10_000, 20_000),
    'member': (168, 335, 670),
    'upstream': (168, 335, 670),
    'link': (50, 100, 200),
}


@FILLERS.register('idempotency record')
def fill_keeper(count: int) -> Any:
    """Returns a keeper with settled records of small answers."""
    store = calls.keepers.KeeperStore(0, 600.0)
    messages = calls.messages
    for number in range(count):
        key, attempt = f'{number:036x}', f'{number:032x}'
        store.claim(
            messages.Claim('workspace', key, 10**13, 'f' * 32, attempt), 1.0
        )
        body = number.to_bytes(4, 'big') * (_ANSWER_BYTES // 4)
        headers = [['content-type', 'application/json']]
        store.settle(
            messages.Settle('workspace', key, attempt, 200, headers, body), 1.0
        )
    return store


@FILLERS.register('member')
def fill_view(count: int) -> Any:
    """Returns a membership view with its lookups built."""
    records = [
        membership.records.MemberRecord(
            vm=f'vm-{number:04}',
            upstream=f'upstream-{number:04}',
            service=f'service-{number % 24}',
            zone=f'zone-{number % 6}',
            region=f'region-{number % 3}',
            host='127.0.0.1',
            port=10_000 + number,
            incarnation=1_700_000_000_000 + number,
            sequence=1,
            state='alive',
            backend='ready',
        )
        for number in range(count)
    ]
    view = membership.views.create_view(records, 0.0)
    view.usable(1.0)
    view.at_upstream('upstream-0000')
    view.of_service('service-0')
    return view


@FILLERS.register('upstream')
def fill_preset(count: int) -> Any:
    """Returns a verified preset with its parts, as a node holds them."""
    deployment = samples.build_large(count, 24, 6)
    bundle = documents.split_preset(documents.dump_preset(deployment.preset))
    joined = documents.join_parts(bundle.manifest, bundle.parts)
    return verification.verify_preset(joined), bundle


@FILLERS.register('link')
def fill_links(count: int) -> Any:
    """Returns a node with open links, and the nodes at their other ends."""
    hub = _start_manager('hub')
    ends = [_start_manager(f'vm-{number}') for number in range(count)]
    before = read_private_bytes()
    for end in ends:
        hub.dial_address(*end.address)
    gevent.sleep(_SETTLE_S)
    # Both ends are in this process; a node has one of them.
    return _Grown((read_private_bytes() - before) / 2)


class _Grown(float):
    """Bytes that a filler measured itself."""


def _start_manager(vm: str) -> links.manager.LinkManager:
    manager = links.manager.LinkManager(
        links.handshakes.Identity(vm, 1),
        [_SECRET],
        lambda _: None,
        links.handlers.HandlerRegistry(),
    )
    manager.start()
    return manager


def read_private_bytes() -> int:
    """Returns the private memory of this process, after a collection."""
    gc.collect()
    return processes.read_smaps('self')['Private_Dirty']


def measure_growth(kind: str, count: int) -> float:
    """Returns the bytes that ``count`` things of a kind take here."""
    before = read_private_bytes()
    held = FILLERS.get(kind)(count)
    if isinstance(held, _Grown):
        return float(held)
    grown = read_private_bytes() - before
    del held
    return float(grown)


@experiments.experiments.register('state')
def run_state(context: experiments.Context) -> Iterator[experiments.Row]:
    """Memory of what a node holds, for each thing held."""
    context.note(method='growth of Private_Dirty in a fresh process')
    for kind, sizes in _SIZES.items():
        grown = [_measure_apart(kind, size) for size in sizes]
        yield experiments.Row(
            f'{kind}, memory of one',
            figures.fit_slope(sizes, grown),
            'bytes',
            conditions={'sizes': list(sizes), 'bytes': grown},
        )


def _measure_apart(kind: str, count: int) -> float:
    """Runs one measurement in a process of its own."""
    found = subprocess.run(
        [sys.executable, '-m', 'jayseam.bench.holdings', kind, str(count)],
        check=True,
        capture_output=True,
        timeout=_TIMEOUT_S,
    )
    return float(json.loads(found.stdout))


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints the growth for one kind and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=FILLERS.names())
    parser.add_argument('count', type=int)
    options = parser.parse_args(arguments)
    print(json.dumps(measure_growth(options.kind, options.count)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
