"""Checks of versions, calls and publications for tests with faults."""

import itertools
import json
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.standins import convergence
from jayseam.standins import edits
from jayseam.standins import errors
from jayseam.standins import exchanges

# Longest time from a publication until all nodes apply it: invariant 13 in
# section 1.3 of the design page.
CONVERGENCE_LIMIT_S = 5.0
OPEN_PATH = '/drop-off-points'
_POLL_S = 0.1
_numbers = itertools.count(1)


def add_probe(preset: Mapping[str, Any]) -> tuple[dict[str, Any], str]:
    """Returns the preset with one more open route, and the path of the route.

    A node answers 404 on the path until this preset, or a later preset with the
    route, is in force.
    """
    path = f'/probe-{next(_numbers)}'
    return edits.add_open_route(preset, path), path


def check_not_in_force(records: Iterable['Record']) -> None:
    """Asserts that calls on a probe's path never met its preset.

    A node that holds an older preset answers 404, or 503 with the code of an
    unconfirmed configuration while it knows of a newer version.
    """
    answers = {
        (record.status, _read_code(record) if record.status == 503 else '')
        for record in records
    }
    assert answers
    assert answers <= {(404, ''), (503, 'configuration-unconfirmed')}


def _read_code(record: 'Record') -> str:
    return json.loads(record.body)['code']


def publish_probe(fleet: fleets.Fleet) -> tuple[int, str]:
    """Publishes the preset with a new probe; returns its version and path."""
    preset, path = add_probe(fleet.cluster.preset)
    return fleet.cluster.publish(preset), path


def check_convergence(
    fleet: fleets.Fleet,
    path: str,
    action: Callable[[], object] = lambda: None,
    vms: Iterable[str] | None = None,
    within_s: float = CONVERGENCE_LIMIT_S,
) -> float:
    """Runs an action, and asserts that a probe's preset then comes into force.

    Returns:
      The seconds until the preset was in force at the slowest node.
    """
    probe = convergence.Probe(path, lambda status: status == 200)
    result = convergence.measure_convergence(
        fleet.cluster, action, probe, within_s, vms
    )
    print(f'{path}: {sorted(result.seconds.values())}')
    assert not result.missing
    return result.slowest


def publish_and_check_convergence(
    fleet: fleets.Fleet, vms: Iterable[str] | None = None
) -> str:
    """Publishes a probe and asserts that ``vms`` apply it in time."""
    preset, path = add_probe(fleet.cluster.preset)
    check_convergence(fleet, path, lambda: fleet.cluster.publish(preset), vms)
    return path


def read_versions(fleet: fleets.Fleet, channel: str) -> dict[str, int]:
    """Returns the version of a channel that is in force, by VM."""
    return {
        vm: fleet.cluster.read_status(vm)['versions'][channel]
        for vm in fleet.cluster.vms
    }


def read_metric(
    fleet: fleets.Fleet, vm: str, name: str, **labels: str
) -> float:
    """Returns the sum of a metric over all samples with the labels."""
    port = fleet.cluster.vms[vm].admin_port
    connection = exchanges.Connection('127.0.0.1', port)
    text = connection.exchange('GET', '/metrics', {}).body.decode()
    connection.close()
    wanted = {f'{key}="{value}"' for key, value in labels.items()}
    found = re.findall(rf'^{name}(?:{{(.*)}})? (\S+)$', text, re.MULTILINE)
    return sum(
        float(value)
        for shown, value in found
        if wanted <= set(shown.split(','))
    )


@attrs.frozen
class Record:
    """One call of `Callers`; ``status`` is 0 if no answer came."""

    vm: str
    started: float
    ended: float
    status: int
    body: bytes = b''
    error: str = ''


class _BackgroundJobs:
    """Greenlets that run for the length of a ``with`` block."""

    def __init__(self) -> None:
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> Any:
        self._greenlets = [gevent.spawn(*job) for job in self._list_jobs()]
        return self

    def __exit__(self, *error: Any) -> None:
        gevent.killall(self._greenlets)

    def _list_jobs(self) -> list[tuple[Any, ...]]:
        raise NotImplementedError


class VersionLog(_BackgroundJobs):
    """Polls the status of nodes and records versions that decrease.

    The versions of a VM are also compared across restarts of its node.
    """

    def __init__(self, fleet: fleets.Fleet):
        super().__init__()
        self._fleet = fleet
        self.reversals: list[tuple[str, str, int, int]] = []
        self.n_polls = 0

    def _list_jobs(self) -> list[tuple[Any, ...]]:
        return [(self._watch, vm) for vm in self._fleet.cluster.vms]

    def _watch(self, vm: str) -> None:
        greatest: dict[str, int] = {}
        while True:
            gevent.sleep(_POLL_S)
            try:
                versions = self._fleet.cluster.read_status(vm)['versions']
            except errors.ExchangeError:
                continue
            self.n_polls += 1
            for channel, version in versions.items():
                if 0 < version < greatest.get(channel, 0):
                    self.reversals.append(
                        (vm, channel, greatest[channel], version)
                    )
                greatest[channel] = max(version, greatest.get(channel, 0))

    def check(self) -> None:
        """Asserts that versions were read and that none decreased."""
        assert self.n_polls and not self.reversals


class Callers(_BackgroundJobs):
    """Callers with kept-alive connections that call again after each answer.

    Args:
      fleet: The fleet.
      vms: VMs whose nodes are called.
      path: Path of the calls.
      key: Workspace key, if any.
      per_vm: Number of callers at each node.
      pause_s: Seconds between an answer and the next call.
      timeout_ms: Deadline of each call, in milliseconds.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        vms: Iterable[str],
        path: str = OPEN_PATH,
        key: str | None = None,
        per_vm: int = 1,
        pause_s: float = 0.02,
        timeout_ms: int = 4000,
    ):
        super().__init__()
        self._fleet = fleet
        self._vms = list(vms) * per_vm
        self._path = path
        self._pause_s = pause_s
        self._timeout_ms = timeout_ms
        self._headers = {'Request-Timeout-Ms': str(timeout_ms)}
        if key is not None:
            self._headers['Authorization'] = f'Bearer {key}'
        self.records: list[Record] = []

    def _list_jobs(self) -> list[tuple[Any, ...]]:
        return [(self._call, vm) for vm in self._vms]

    def _call(self, vm: str) -> None:
        port = self._fleet.cluster.vms[vm].caller_port
        connection = exchanges.Connection('127.0.0.1', port)
        while True:
            started = clocks.read_now()
            status, body, text = 0, b'', ''
            try:
                answer = connection.exchange(
                    'GET', self._path, self._headers, b'', 15.0
                )
                status, body = answer.status, answer.body
            except errors.ExchangeError as error:
                text = str(error)
            self.records.append(
                Record(vm, started, clocks.read_now(), status, body, text)
            )
            gevent.sleep(self._pause_s)

    def list_failed(
        self, start: float = 0.0, end: float = 1e18
    ) -> list[Record]:
        """Returns the calls begun in a time span that were not served."""
        return [
            record
            for record in self.records
            if record.status != 200 and start <= record.started < end
        ]

    def count_served(self, start: float = 0.0) -> int:
        """Returns the number of calls begun since ``start`` and served."""
        return sum(r.status == 200 and r.started >= start for r in self.records)

    def check_deadlines(self) -> None:
        """Asserts that every call was answered by its deadline."""
        limit_s = self._timeout_ms / 1000 + 0.3
        late = [r for r in self.records if r.ended - r.started > limit_s]
        assert self.records and not late
