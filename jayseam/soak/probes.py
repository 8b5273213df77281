"""Callers that send requests through every node and record what comes back."""

import random
from collections.abc import Sequence

import attrs
import gevent

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import platformbackend
from jayseam.tools import records

LASTING_KEY = samples.KEYS['school']
LASTING_TENANT = 'school'
_EXTRA_TENANT = 'museum'
_PAUSE_S = 0.06
# Number of VMs from which on each gets fewer requests, which bounds their sum.
_FULL_LOAD_VMS = 10
_DEADLINE_MS = 1000
_TIMEOUT_S = 2.5
# Number of routes and of keys that were added last and get half of the probes.
_RECENT = 4
_REFUSED_STATUSES = (408, 421, 429, 503)


@attrs.define
class Probe:
    """A request and its outcome.

    Attributes:
      route: Name of the route.
      key: API key; empty if none was sent.
      call: Record of the call. Its target is the address of the VM.
    """

    route: str
    key: str
    call: records.CallRecord


class Prober:
    """Sends requests through all nodes.

    Args:
      fleet: The fleet.
      operator: The operator, whose routes and keys are used.
      generator: Source of all draws.

    Attributes:
      probes: All requests that have ended, in order of their ends.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        operator: operators.Operator,
        generator: random.Random,
    ):
        self.probes: list[Probe] = []
        self._fleet = fleet
        self._operator = operator
        self._generator = generator
        self._count = 0
        n_vms = len(fleet.vms)
        self._pause_s = _PAUSE_S * max(1.0, n_vms / _FULL_LOAD_VMS)

    def run_probes(self, ip: str, duration_s: float) -> None:
        """Sends requests through a node one after the other."""
        deadline = clocks.read_now() + duration_s
        while clocks.read_now() < deadline:
            self.send(ip, *self._draw_target())
            gevent.sleep(self._pause_s * self._generator.uniform(0.5, 1.5))

    def send(self, ip: str, route: str, key: str) -> Probe:
        """Sends a request through a node and records its outcome."""
        self._count += 1
        request_id = f'{self._count:016x}'
        is_unsafe = route == 'book'
        call = records.CallRecord(
            workspace=_name_tenant(key),
            method='POST' if is_unsafe else 'GET',
            path=f'/{route}/1',
            echo=request_id,
            idempotency_key=request_id if is_unsafe else '',
            repeat=False,
            scheduled=clocks.read_now(),
            sent=clocks.read_now(),
            target=ip,
        )
        headers = {
            'Host': samples.HOST,
            platformbackend.REQUEST_ID_HEADER: request_id,
            platformbackend.DEADLINE_HEADER: str(_DEADLINE_MS),
        }
        if key:
            headers['Authorization'] = f'Bearer {key}'
        try:
            answer = exchanges.exchange_once(
                self._fleet.get_caller_address(ip),
                call.method,
                call.path,
                headers,
                timeout_s=_TIMEOUT_S,
            )
        except errors.ExchangeError as error:
            call.outcome = 'lost' if error.sent else 'unreachable'
        else:
            self._record_answer(call, answer)
        call.ended = clocks.read_now()
        probe = Probe(route, key, call)
        self.probes.append(probe)
        return probe

    def _record_answer(
        self, call: records.CallRecord, answer: exchanges.Answer
    ) -> None:
        call.status = answer.status
        if answer.status == 200:
            echoed = answer.headers.get(platformbackend.REQUEST_ID_HEADER)
            call.outcome = 'ok' if echoed == call.echo else 'foreign'
            return
        call.outcome = f'status-{answer.status}'
        # Only requests that may not be repeated are promised not to have run.
        if call.idempotency_key and answer.status in _REFUSED_STATUSES:
            call.ran = 'no'

    def _draw_target(self) -> tuple[str, str]:
        """Returns the route and key of a request."""
        choice = self._generator.random()
        if choice < 0.3:
            return 'view', LASTING_KEY
        if choice < 0.4:
            return 'book', LASTING_KEY
        if choice < 0.5:
            return 'open', ''
        if choice < 0.52:
            return 'nothing', LASTING_KEY
        if choice < 0.54:
            return 'view', 'unknown'
        if choice < 0.77:
            return self._pick(self._operator.past_routes, 'view'), LASTING_KEY
        return 'view', self._pick(self._operator.past_keys, LASTING_KEY)

    def _pick(self, names: Sequence[str], default: str) -> str:
        if not names:
            return default
        is_recent = self._generator.random() < 0.5
        return self._generator.choice(names[-_RECENT:] if is_recent else names)


def _name_tenant(key: str) -> str:
    """Returns the tenant for which a request with a key runs; empty if none."""
    if not key:
        return ''
    return LASTING_TENANT if key == LASTING_KEY else _EXTRA_TENANT
