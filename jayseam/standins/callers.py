"""Callers that use the node of their VM as users do.

Some keep a connection for many requests and use it until the process is gone.
Requests may not be repeated, or may; they come with a length or in chunks, in
several pieces, and last from 10 ms to 2.4 s at their backend server.
"""

import random
from collections.abc import Callable, Sequence

import attrs
import gevent

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.standins import platformbackend
from jayseam.standins import wires
from jayseam.standins import workingbackends
from jayseam.tools import records

_WORK_S = (0.01, 2.4)
# Time that a deadline leaves besides the service time.
_SPARE_S = (0.4, 1.5)
# Callers that read slowly get large answers after little work.
_SLOW_WORK_S = (0.01, 0.5)
_SLOW_SIZE_BYTES = (100_000, 400_000)
_SIZE_BYTES = (0, 2_000)
_BODY_BYTES = (1, 3_000)
_MAX_CUTS = 3
_MAX_PIECE_PAUSE_S = 0.12
_MAX_CHUNK_BYTES = 1_000
# Time after the deadline at which a caller gives up.
_TIMEOUT_SLACK_S = 1.5
_PAUSE_S = (0.1, 0.8)
# Pause after a refusal of a caller that doesn't wait as it is told.
_IMPATIENT_PAUSE_S = 0.05
_OUT_PAUSE_S = 0.1
_REFUSED_STATUSES = (408, 421, 429, 503)


@attrs.frozen
class Habits:
    """What a caller does.

    Attributes:
      keeps_connection: Whether it uses a connection for many requests.
      heeds_readiness: Whether it sends nothing to a node that is out.
      reads_slowly: Whether it reads large answers in small blocks.
    """

    keeps_connection: bool
    heeds_readiness: bool
    reads_slowly: bool = False


# The callers of each VM.
ALL_HABITS = (
    Habits(keeps_connection=True, heeds_readiness=False),
    Habits(keeps_connection=True, heeds_readiness=True),
    Habits(keeps_connection=False, heeds_readiness=True),
    Habits(keeps_connection=False, heeds_readiness=False, reads_slowly=True),
)


@attrs.frozen
class Service:
    """What callers call.

    Attributes:
      safe_route: Route of requests that may be repeated.
      unsafe_route: Route of requests that may not.
      timeout_s: Timeout of the routes in seconds, longer than all deadlines
        but those of slow callers.
      key: API key.
      workspace: Workspace of the key.
    """

    safe_route: str
    unsafe_route: str
    timeout_s: float
    key: str
    workspace: str


@attrs.define
class Request:
    """A request of a caller.

    Attributes:
      route: Name of the route.
      call: Record of the call. Its target is the address of the VM.
      work_s: Service time in seconds.
      deadline_s: Seconds from the sending to the deadline.
      exchange: What happened on the connection.
      is_own: Whether a node made the answer, not a backend server.
    """

    route: str
    call: records.CallRecord
    work_s: float
    deadline_s: float
    exchange: wires.Exchange = attrs.field(factory=wires.Exchange)
    is_own: bool = False


class Callers:
    """Sends requests of callers and records what came back.

    Args:
      get_address: Returns the address to which callers on a VM send requests.
      is_out: Returns whether the platform has taken a node out of service.
      service: What to call.
      generator: Source of all draws.
      pause_factor: Factor on the pauses between requests.

    Attributes:
      requests: All requests that have ended.
    """

    def __init__(
        self,
        get_address: Callable[[str], tuple[str, int]],
        is_out: Callable[[str], bool],
        service: Service,
        generator: random.Random,
        pause_factor: float = 1.0,
    ):
        self.requests: list[Request] = []
        self._get_address = get_address
        self._is_out = is_out
        self._service = service
        self._generator = generator
        self._count = 0
        self._pause_factor = pause_factor

    def run(self, ip: str, habits: Habits, duration_s: float) -> None:
        """Sends requests through a node one after the other."""
        end = clocks.read_now() + duration_s
        wire = wires.Wire(self._get_address(ip), habits.reads_slowly)
        while clocks.read_now() < end:
            if habits.heeds_readiness and self._is_out(ip):
                gevent.sleep(_OUT_PAUSE_S)
                continue
            request = self._send(wire, ip, habits)
            if not habits.keeps_connection:
                wire.close()
            pause_s = self._draw_pause_s(request, habits)
            gevent.sleep(self._pause_factor * pause_s)
        wire.close()

    def _send(self, wire: wires.Wire, ip: str, habits: Habits) -> Request:
        self._count += 1
        request = self._build_request(f'c{self._count:015x}', ip, habits)
        call = request.call
        pieces = self._draw_pieces(request)
        call.sent = clocks.read_now()
        request.exchange = wire.exchange(
            call.method, pieces, request.deadline_s + _TIMEOUT_SLACK_S
        )
        call.ended = clocks.read_now()
        _record_outcome(request)
        self.requests.append(request)
        return request

    def _build_request(
        self, request_id: str, ip: str, habits: Habits
    ) -> Request:
        generator = self._generator
        is_unsafe = generator.random() < 0.6
        work_s = _draw_log_uniform(
            generator, _SLOW_WORK_S if habits.reads_slowly else _WORK_S
        )
        size_bytes = generator.randint(
            *(_SLOW_SIZE_BYTES if habits.reads_slowly else _SIZE_BYTES)
        )
        query = workingbackends.format_query(work_s, size_bytes)
        service = self._service
        route = service.unsafe_route if is_unsafe else service.safe_route
        has_body = is_unsafe or generator.random() < 0.5
        call = records.CallRecord(
            workspace=service.workspace,
            method='POST' if has_body else 'GET',
            path=f'/{route}/1?{query}',
            echo=request_id,
            idempotency_key=request_id if is_unsafe else '',
            repeat=False,
            scheduled=clocks.read_now(),
            target=ip,
        )
        spare_s = generator.uniform(*_SPARE_S)
        if habits.reads_slowly:
            spare_s = service.timeout_s - work_s
        return Request(route, call, work_s, round(work_s + spare_s, 3))

    def _draw_pieces(self, request: Request) -> Sequence[wires.Piece]:
        """Returns the bytes of a request and how they are sent."""
        generator = self._generator
        call = request.call
        lines = [
            f'{call.method} {call.path} HTTP/1.1',
            f'Host: {samples.HOST}',
            f'{platformbackend.REQUEST_ID_HEADER}: {call.echo}',
            f'{platformbackend.DEADLINE_HEADER}:'
            f' {request.deadline_s * 1000:.0f}',
            f'Authorization: Bearer {self._service.key}',
        ]
        body = b''
        if call.method == 'POST':
            body = b'x' * generator.randint(*_BODY_BYTES)
            if generator.random() < 0.5:
                lines.append('Transfer-Encoding: chunked')
                size_bytes = generator.randint(1, _MAX_CHUNK_BYTES)
                body = wires.frame_chunks(body, max(size_bytes, 50))
            else:
                lines.append(f'Content-Length: {len(body)}')
        data = '\r\n'.join([*lines, '', '']).encode() + body
        n_cuts = generator.randint(0, _MAX_CUTS)
        return wires.split(
            data,
            generator.sample(range(1, len(data)), n_cuts),
            generator.uniform(0.0, _MAX_PIECE_PAUSE_S),
        )

    def _draw_pause_s(self, request: Request, habits: Habits) -> float:
        """Returns the time until the next request of a caller."""
        exchange = request.exchange
        if exchange.ending == 'answer' and exchange.status == 200:
            return self._generator.uniform(*_PAUSE_S)
        if habits.heeds_readiness:
            told_s = float(exchange.headers.get('Retry-After', 0.0))
            return max(_OUT_PAUSE_S, min(told_s, request.deadline_s / 3))
        return _IMPATIENT_PAUSE_S


def _record_outcome(request: Request) -> None:
    call = request.call
    exchange = request.exchange
    if exchange.ending != 'answer':
        outcomes = {'unreachable': 'unreachable', 'garbled': 'corrupt'}
        call.outcome = outcomes.get(exchange.ending, 'lost')
        return
    call.status = exchange.status
    headers = exchange.headers
    request.is_own = platformbackend.SIGNATURE_HEADER not in headers
    if exchange.status == 200:
        echoed = headers.get(platformbackend.REQUEST_ID_HEADER)
        is_whole = call.path.endswith(f'={exchange.body_bytes}')
        is_right = echoed == call.echo and is_whole and not request.is_own
        call.outcome = 'ok' if is_right else 'foreign'
        return
    call.outcome = f'status-{exchange.status}'
    if call.idempotency_key and exchange.status in _REFUSED_STATUSES:
        call.ran = 'no'


def _draw_log_uniform(
    generator: random.Random, limits: tuple[float, float]
) -> float:
    """Returns a number whose logarithm is uniform between two limits.

    >>> 0.01 <= _draw_log_uniform(random.Random(1), (0.01, 2.4)) <= 2.4
    True
    """
    low, high = limits
    return low * (high / low) ** generator.random()
