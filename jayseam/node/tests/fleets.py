"""Small fleets of real processes for the tests of the node."""

import contextlib
import os
import random
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import gevent

from jayseam.calls import idempotency
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.presets import documents
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import exchanges
from jayseam.standins import invariants
from jayseam.standins import plans
from jayseam.tools import generators
from jayseam.tools import profiles
from jayseam.tools import records as call_records

SEED = int(os.environ.get('JAYSEAM_SEED', '1'))
FAST_RAMP = model.Ramp(initial_slots=10, duration_s=0.1)
# Workspace whose key is withdrawn by a test of the shared fleet.
WITHDRAWN_WORKSPACE = 'mons'
# Shares of the limits are lent from 7.5 s after a start, and token buckets are
# empty at first; the rest allows for a busy machine.
_LIMITS_READY_TIMEOUT_S = 20.0


@attrs.frozen
class Fleet:
    """A running cluster with the plaintext keys of its workspaces."""

    cluster: clusters.Cluster
    keys: Mapping[str, str]

    def list_vms_of(self, service: str) -> list[str]:
        """Returns the VMs whose backend servers belong to a service."""
        return [
            name
            for name, vm in self.cluster.vms.items()
            if vm.upstream.startswith(service)
        ]

    def list_vms_in(self, zone: str) -> list[str]:
        """Returns the VMs of an availability zone."""
        return [n for n, vm in self.cluster.vms.items() if vm.zone == zone]

    def wait_admitting(self, path: str = '/credits/1') -> None:
        """Waits until every node admits calls of every workspace.

        Raises:
          ClusterError: If that takes longer than `_LIMITS_READY_TIMEOUT_S`.
        """
        pending = [(vm, key) for vm in self.cluster.vms for key in self.keys]

        def is_refused(pair: tuple[str, str]) -> bool:
            vm, workspace = pair
            return self.cluster.call(vm, path, self.keys[workspace]).status != (
                200
            )

        def admits() -> bool:
            # A call waits for tokens before it is refused, so calls run in
            # parallel.
            jobs = [gevent.spawn(is_refused, pair) for pair in pending]
            gevent.joinall(jobs)
            pending[:] = [pair for pair, job in zip(pending, jobs) if job.get()]
            return not pending

        self.cluster.wait_until(admits, _LIMITS_READY_TIMEOUT_S)

    def wait_keys_confirmable(self) -> None:
        """Waits until all keepers can confirm that a new key is unused.

        A call whose key was made within `idempotency.CLOCK_ALLOWANCE_MS` of the
        start of two of its keepers ends as outcome-unknown, because the keepers
        can't exclude that the key was claimed before they started.
        """
        youngest_ms = max(
            self.cluster.read_status(vm)['incarnation']
            for vm in self.cluster.vms
        )
        until_ms = youngest_ms + idempotency.CLOCK_ALLOWANCE_MS + 100
        gevent.sleep(max(0.0, until_ms - clocks.read_wall_ms()) / 1000)

    def clear(self) -> None:
        """Clears the recorded runs and peaks, as between two tests."""
        for upstream in self.cluster.preset['upstreams']:
            self.cluster.control_backend(upstream['name'], 'clear-runs')
        self.cluster.collect_peaks(reset=True)

    def set_fault(self, service: str, kind: str, **fields: Any) -> None:
        """Sets a fault at all backend servers of a service; '' clears it."""
        for vm in self.list_vms_of(service):
            upstream = self.cluster.vms[vm].upstream
            self.cluster.control_backend(upstream, 'fault', kind=kind, **fields)

    def start_load(
        self,
        workspaces: Mapping[str, float],
        routes: Sequence[profiles.RouteLoad],
        duration_s: float,
        **options: Any,
    ) -> gevent.Greenlet:
        """Starts load over all nodes; the greenlet returns a `LoadReport`.

        Args:
          workspaces: Calls per second by workspace.
          routes: Routes that each workspace calls.
          duration_s: Length of the load in seconds.
          **options: ``connections`` of each workspace, and other attributes of
            the profile.
        """
        connections = options.pop('connections', 48)
        settings = {'targets': tuple(self.cluster.list_targets()), 'seed': SEED}
        profile = profiles.Profile(
            duration_s=duration_s,
            workspaces=tuple(
                profiles.WorkspaceLoad(
                    name, rate, tuple(routes), self.keys[name], connections
                )
                for name, rate in workspaces.items()
            ),
            # Longer than the timeout of any called route: a call that ends by
            # this limit got no answer within its deadline.
            timeout_s=8.0,
            **{**settings, **options},
        )
        return gevent.spawn(generators.run_load, profile)

    def wait_idle(self) -> None:
        """Waits until no backend server runs a call.

        Raises:
          ClusterError: If a call still runs after the longest route timeout.
        """
        self.cluster.wait_until(
            lambda: not any(
                peaks['in_flight_now']
                for peaks in self.cluster.collect_peaks().values()
            ),
            21.0,
        )

    def judge(
        self,
        records: Sequence[call_records.CallRecord],
        latitude_s: float,
        ignored: Sequence[str] = (),
    ) -> list[invariants.Violation]:
        """Returns the violations of invariants since the last `clear`.

        Args:
          records: Calls of all callers since the last `clear`.
          latitude_s: Longest allowed time from admission to run, in seconds.
          ignored: Rules that the test violates on purpose.
        """
        self.wait_idle()
        budgets = invariants.read_budgets(self.cluster.preset['workspaces'])
        violations = invariants.InvariantChecker(
            budgets, latitude_s
        ).find_violations(
            self.cluster.collect_runs(), records, self.cluster.collect_peaks()
        )
        return [item for item in violations if item.rule not in ignored]

    def count_runs(self, **fields: Any) -> int:
        """Returns the number of recorded runs with all the given values."""
        return sum(
            all(run.get(name) == value for name, value in fields.items())
            for run in self.cluster.collect_runs()
        )


@contextlib.contextmanager
def start_fleet(
    deployment: samples.Deployment | None = None, **plan: Any
) -> Iterator[Fleet]:
    """Starts the agency's fleet of twelve nodes, or another deployment."""
    print(f'JAYSEAM_SEED={SEED}')
    random.seed(SEED)
    chosen_deployment = deployment or samples.build_agence(ramp=FAST_RAMP)
    settings = {
        'backend': {'service_time': {'kind': 'fixed', 'mean_ms': 2.0}},
        **plan,
    }
    cluster_plan = plans.plan_deployment(chosen_deployment, **settings)
    with clusters.Cluster(cluster_plan) as cluster:
        yield Fleet(cluster, chosen_deployment.plaintexts)


def make_idempotency_key(wall_ms: int | None = None) -> str:
    """Returns a UUID of version 7 for a time; by default for now."""
    time_ms = clocks.read_wall_ms() if wall_ms is None else wall_ms
    return identifiers.make_uuid7(time_ms, random.Random())


def read_problem_code(answer: exchanges.Answer) -> str:
    """Returns the problem code of an answer, or an empty string."""
    if b'"code"' not in answer.body:
        return ''
    return documents.decode_json(answer.body).get('code', '')
