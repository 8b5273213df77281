"""Memory that the state of a node needs, by kind and number of entries.

A process of its own measures each kind and size: it creates that many entries
and prints the growth of its private memory.
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

# Creates a number of entries of one kind and returns the object to keep alive.
Filler = Callable[[int], Any]

FILLERS: registries.Registry[Filler] = registries.Registry('kind of state')

_SECRET = 'bench-secret-0123456789'
_DIAL_WAIT_S = 0.5
_TIMEOUT_S = 120.0
_ANSWER_BYTES = 300
_SIZES = {
    'idempotency record': (5_000, 10_000, 20_000),
    'member': (168, 335, 670),
    'upstream': (168, 335, 670),
    'link': (50, 100, 200),
}


@FILLERS.register('idempotency record')
def fill_idempotency_store(count: int) -> Any:
    """Returns an idempotency store with records of small finished answers."""
    store = calls.keepers.ClaimStore(0, 600.0)
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
    """Returns a membership view whose lookup tables are built."""
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
    view.list_eligible(1.0)
    view.list_upstream_members('upstream-0000')
    view.list_service_members('service-0')
    return view


@FILLERS.register('upstream')
def fill_preset(count: int) -> Any:
    """Returns a verified preset with its parts, as a node stores them."""
    deployment = samples.build_large(count, 24, 6)
    bundle = documents.split_preset(documents.dump_preset(deployment.preset))
    joined = documents.join_parts(bundle.manifest, bundle.parts)
    return verification.verify_preset(joined), bundle


@FILLERS.register('link')
def fill_links(count: int) -> Any:
    """Returns the memory of one end of ``count`` open links."""
    hub = _start_manager('hub')
    peers = [_start_manager(f'vm-{number}') for number in range(count)]
    before = read_private_bytes()
    for peer in peers:
        hub.dial_address(*peer.address)
    gevent.sleep(_DIAL_WAIT_S)
    # This process has both ends of each link, a node only one.
    return _MeasuredBytes((read_private_bytes() - before) / 2)


class _MeasuredBytes(float):
    """Memory in bytes that a filler has measured itself."""


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
    """Returns the private memory of this process after garbage collection."""
    gc.collect()
    return processes.read_smaps('self')['Private_Dirty']


def measure_growth(kind: str, count: int) -> float:
    """Returns the bytes that ``count`` entries of a kind take here."""
    before = read_private_bytes()
    state = FILLERS.get(kind)(count)
    if isinstance(state, _MeasuredBytes):
        return float(state)
    growth = read_private_bytes() - before
    del state
    return float(growth)


@experiments.registry.register('state')
def measure_state(context: experiments.Context) -> Iterator[experiments.Row]:
    """Memory that each entry of a node's state needs."""
    context.add_conditions(method='growth of Private_Dirty in a fresh process')
    for kind, sizes in _SIZES.items():
        growths = [_measure_in_process(kind, size) for size in sizes]
        yield experiments.Row(
            f'{kind}, memory of one',
            figures.fit_slope(sizes, growths),
            'bytes',
            conditions={'sizes': list(sizes), 'bytes': growths},
        )


def _measure_in_process(kind: str, count: int) -> float:
    """Runs `measure_growth` in a process of its own."""
    completed = subprocess.run(
        [sys.executable, '-m', 'jayseam.bench.holdings', kind, str(count)],
        check=True,
        capture_output=True,
        timeout=_TIMEOUT_S,
    )
    return float(json.loads(completed.stdout))


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints the growth of memory for one kind and number of entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=FILLERS.list_names())
    parser.add_argument('count', type=int)
    options = parser.parse_args(arguments)
    print(json.dumps(measure_growth(options.kind, options.count)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
