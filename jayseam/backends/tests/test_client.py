"""Tests of the client against small servers on real sockets."""

import contextlib
import socket as std_socket

import gevent
import pytest
from gevent import server
from gevent import socket

from jayseam.backends import client as backend_client
from jayseam.backends import connections
from jayseam.backends import errors
from jayseam.backends import messages
from jayseam.backends import states
from jayseam.core import clocks

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def read_request(sock):
    """Reads one request; returns its bytes, empty after the end."""
    data = b''
    while b'\r\n\r\n' not in data:
        block = sock.recv(65536)
        if not block:
            return b''
        data += block
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    while len(body) < length:
        body += sock.recv(65536)
    return head + b'\r\n\r\n' + body


def answer_and_close(sock):
    """Answers a request and closes its connection."""
    sock.sendall(OK)
    sock.close()


def reset(sock):
    """Closes a connection with RST."""
    option = b'\x01\x00\x00\x00\x00\x00\x00\x00'
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, option)
    sock.close()


class Backend:
    """A server that answers each request with its next script.

    A script is the bytes of an answer or a function of the socket.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.cancels = []
        self.accepted = 0
        self.sockets = []
        self.evidence = []
        self.server = server.StreamServer(('127.0.0.1', 0), self.handle)
        self.server.start()

    def handle(self, sock, _):
        """Answers the requests of one connection."""
        self.accepted += 1
        self.sockets.append(sock)
        with contextlib.suppress(OSError):
            while request := read_request(sock):
                if b'/.backend/cancel/' in request:
                    self.cancels.append(request.split(b' ')[1])
                    sock.sendall(OK)
                    continue
                self.requests.append(request)
                script = self.scripts.pop(0) if self.scripts else OK
                if callable(script):
                    script(sock)
                else:
                    sock.sendall(script)

    def connect(self, **options):
        """Returns a client that appends its evidence to `evidence`."""

        def observe(evidence, now):
            del now
            self.evidence.append(evidence)

        address = ('127.0.0.1', self.server.server_port)
        options.setdefault('max_connections', 10)
        return backend_client.BackendClient(address, observe=observe, **options)


@pytest.fixture(name='start')
def start_fixture():
    """Starts servers and stops them at the end of the test."""
    started = []

    def start(*scripts):
        started.append(Backend(*scripts))
        return started[-1]

    yield start
    for backend in started:
        backend.server.stop(timeout=0.1)


def call(client, request_id='r-1', timeout_s=1.0, **fields):
    """Runs a call with a deadline ``timeout_s`` from now."""
    fields.setdefault('method', 'GET')
    fields.setdefault('path', '/a')
    request = messages.BackendRequest(request_id, **fields)
    return client.run(request, clocks.read_now() + timeout_s)


def test_connection_is_reused_with_nodelay(start):
    """Nagle's algorithm, or a connection per call, would slow each call."""
    backend = start()
    client = backend.connect()
    for _ in range(3):
        assert call(client).body == b'ok'
    assert backend.accepted == 1
    idle = client._pool._idle[0].socket
    assert idle.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0


def test_hop_by_hop_headers_are_stripped_both_ways(start):
    """A forwarded Connection or X-Hop header would leak between hops."""
    answer = (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Hop: 1\r\n'
        b'Connection: x-hop\r\nETag: e\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n'
    )
    backend = start(answer)
    sent = [('Connection', 'X-Hop'), ('X-Hop', '1'), ('TE', 'x'), ('A', 'b')]
    got = call(backend.connect(), method='POST', headers=sent, body=b'xyz')
    assert got == messages.BackendAnswer(200, [('ETag', 'e')], b'ok')
    head = backend.requests[0].lower()
    assert b'hop' not in head and b'te:' not in head
    assert b'content-length: 3' in head and b'request-id: r-1' in head


@pytest.mark.parametrize(
    'value', ['a\r\nX: 1', 'a\nX: 1', 'a\0b', '\N{EURO SIGN}']
)
def test_header_injection_is_refused(start, value):
    """A line break in a value would start a header of the caller's choice."""
    backend = start()
    client = backend.connect()
    with pytest.raises(errors.InvalidRequestError):
        call(client, headers=[('A', value)])
    with pytest.raises(errors.InvalidRequestError):
        call(client, path='/a b HTTP/1.1\r\nX: 1')
    assert call(client).status == 200
    assert len(backend.requests) == 1


TRUNCATED = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Le',
    b'',
]


@pytest.mark.parametrize('part', TRUNCATED)
@pytest.mark.parametrize('end', [reset, lambda sock: sock.close()])
def test_truncated_answer_is_unknown(start, part, end):
    """A caller must never get part of an answer, or a false not-run error."""

    def cut(sock):
        sock.sendall(part)
        gevent.sleep(0.01)
        end(sock)

    backend = start(cut)
    client = backend.connect()
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        call(client)
    assert caught.value.reason == 'connection-lost'
    assert call(client, 'r-2').body == b'ok'
    assert backend.accepted == 2


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',
        b'garbage\r\n\r\n',
    ],
)
def test_framing_fault_is_unknown(start, answer):
    """An answer whose end is uncertain must not pass as complete."""
    backend = start(answer)
    client = backend.connect()
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        call(client)
    assert caught.value.reason == 'framing'
    assert call(client, 'r-2').body == b'ok'
    assert backend.accepted == 2


@pytest.mark.parametrize('late_s', [0.0, 0.02])
def test_second_answer_does_not_reach_next_request(start, late_s):
    """A second answer would be taken for the answer to the next request."""

    def answer_twice(sock):
        sock.sendall(OK)
        gevent.sleep(late_s)
        sock.sendall(b'HTTP/1.1 500 X\r\nA: b\r\nContent-Length: 0\r\n\r\n')

    backend = start(answer_twice)
    client = backend.connect()
    first = call(client)
    assert (first.status, len(first.headers), first.body) == (200, 1, b'ok')
    gevent.sleep(2 * late_s)
    assert call(client, 'r-2').body == b'ok'
    assert backend.accepted == 2


def test_crossed_answer_is_unknown(start):
    """An answer that names another request must not reach this caller."""
    crossed = OK.replace(b'\r\n\r\n', b'\r\nRequest-Id: r-0\r\n\r\n')
    client = start(crossed).connect()
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        call(client)
    assert caught.value.reason == 'crossed'


def test_late_answer_does_not_reach_next_request(start):
    """An answer after the time-out must not be read by the next call."""

    def answer_late(sock):
        gevent.sleep(0.1)
        sock.sendall(OK.replace(b'ok', b'no'))

    backend = start(answer_late)
    client = backend.connect()
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        call(client, timeout_s=0.05)
    assert caught.value.reason == 'timeout'
    gevent.sleep(0.1)
    assert call(client, 'r-2').body == b'ok'
    assert backend.cancels == [b'/.backend/cancel/r-1']


def test_connections_idle_since_a_timeout_are_not_trusted(start):
    """Open connections may all have stopped responding at one moment."""
    wait = [lambda sock: gevent.sleep(0.02) or sock.sendall(OK)] * 2
    backend = start(*wait, lambda sock: gevent.sleep(0.3))
    client = backend.connect()
    gevent.joinall([gevent.spawn(call, client, f'r-{i}') for i in range(2)])
    assert backend.accepted == 2
    with pytest.raises(errors.OutcomeUnknownError):
        call(client, 'r-2', timeout_s=0.05)
    gevent.sleep(0.05)
    call(client, 'r-3')
    # The cancellation and the next call share one fresh connection.
    assert backend.accepted == 3


def test_slow_headers_end_at_the_deadline(start):
    """Bytes that trickle in must not extend the deadline of the call."""

    def trickle(sock):
        for byte in OK[:-1]:
            sock.sendall(bytes([byte]))
            gevent.sleep(0.01)

    client = start(trickle).connect()
    began = clocks.read_now()
    with pytest.raises(errors.OutcomeUnknownError):
        call(client, timeout_s=0.1)
    assert clocks.read_now() - began < 0.3


def test_split_and_interim_answers_are_joined(start):
    """Fragments and a 100 answer must not corrupt header fields."""
    answer = b'HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n' + OK

    def split(sock):
        for at in range(0, len(answer), 7):
            sock.sendall(answer[at : at + 7])
            gevent.sleep(0.001)

    client = start(split).connect()
    expected = messages.BackendAnswer(200, [('Content-Length', '2')], b'ok')
    assert call(client) == expected


@pytest.mark.parametrize('method,status', [('HEAD', 200), ('GET', 304)])
def test_answers_without_body_are_whole(start, method, status):
    """Waiting for a body that never comes would end in a time-out."""
    head = b'HTTP/1.1 %d X\r\nContent-Length: 9\r\n\r\n' % status
    backend = start(head)
    client = backend.connect()
    assert call(client, method=method).body == b''
    assert call(client, 'r-2').body == b'ok'
    assert backend.accepted == 1


def test_refused_connection_is_not_run(start):
    """A call whose connection was refused may be sent to another VM."""
    backend = start()
    client = backend.connect()
    backend.server.stop()
    with pytest.raises(errors.NotRunError) as caught:
        call(client)
    assert caught.value.reason == 'refused'
    assert backend.evidence == [states.ConnectionRefused()]


def test_connection_closed_while_idle_is_replaced(start):
    """A keep-alive connection that the server closed must cost no call."""
    backend = start(answer_and_close)
    client = backend.connect()
    call(client)
    gevent.sleep(0.02)
    assert call(client, 'r-2', method='POST').body == b'ok'
    assert backend.accepted == 2


@pytest.mark.parametrize('failures', [1, 2])
def test_request_without_a_sent_byte_is_not_run(start, monkeypatch, failures):
    """A reused connection that fails at once must be replaced by a new one."""
    backend = start()
    client = backend.connect()
    call(client)
    send = connections.Connection.send
    failures_left = [failures]

    def fail(connection, data, timeout_s):
        if failures_left[0]:
            failures_left[0] -= 1
            raise BrokenPipeError
        return send(connection, data, timeout_s)

    monkeypatch.setattr(connections.Connection, 'send', fail)
    if failures == 1:
        assert call(client, 'r-2').body == b'ok'
    else:
        with pytest.raises(errors.NotRunError) as caught:
            call(client, 'r-2')
        assert caught.value.reason == 'unsent'
    gevent.sleep(0.01)
    assert backend.accepted == 2


def test_only_trusted_shed_is_not_run(start):
    """A 503 of a service that may have run the call must be passed on."""
    shed = b'HTTP/1.1 503 X\r\nShed: not-run\r\nContent-Length: 0\r\n\r\n'
    other = b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n'
    client = start(shed, shed, other).connect()
    with pytest.raises(errors.ShedError):
        call(client)
    assert call(client, 'r-2', shed_retryable=False).status == 503
    assert call(client, 'r-3').status == 503


def test_early_shed_of_large_request_is_not_run():
    """A shed before the whole body was read is still a shed."""

    def serve(sock, _):
        sock.recv(1000)
        shed = b'HTTP/1.1 503 X\r\nShed: not-run\r\nContent-Length: 0\r\n'
        sock.sendall(shed + b'Connection: close\r\n\r\n')
        sock.shutdown(std_socket.SHUT_WR)
        gevent.sleep(0.2)

    with contextlib.closing(
        server.StreamServer(('127.0.0.1', 0), serve)
    ) as early:
        early.start()
        client = backend_client.BackendClient(early.address, 10)
        body = bytes(100_000)
        with pytest.raises(errors.ShedError):
            call(client, method='POST', body=body)


def test_large_answer_is_unknown(start):
    """An unbounded body would exhaust the memory of the node."""
    large = b'HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n' + bytes(3000)
    client = start(large).connect(max_answer_bytes=1000)
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        call(client)
    assert caught.value.reason == 'too-large'


@pytest.mark.parametrize('way', ['cancel', 'kill'])
def test_cancelled_call_closes_and_posts(start, way):
    """A call that nobody waits for must be stopped at the backend server."""
    backend = start(lambda sock: gevent.sleep(0.2))
    client = backend.connect()
    greenlet = gevent.spawn(call, client)
    gevent.sleep(0.02)
    if way == 'cancel':
        assert client.cancel('r-1')
        greenlet.join(1.0)
        assert greenlet.exception.reason == 'cancelled'
    else:
        greenlet.kill()
    gevent.sleep(0.05)
    assert backend.cancels == [b'/.backend/cancel/r-1']
    assert client.in_flight == 0
    assert not client.cancel('r-1')


def test_connections_are_bounded(start):
    """More connections than the backend server accepts would be refused."""
    backend = start(*[lambda sock: gevent.sleep(0.05) or sock.sendall(OK)] * 9)
    client = backend.connect(max_connections=4)
    calls = [gevent.spawn(call, client, f'r-{i}') for i in range(9)]
    gevent.joinall(calls, timeout=2.0)
    assert [c.value.status for c in calls] == [200] * 9
    assert backend.accepted == 3
    waiting = [lambda sock: gevent.sleep(0.3)] * 3
    backend.scripts += waiting
    blocked = [gevent.spawn(call, client, f'b-{i}') for i in range(3)]
    gevent.sleep(0.01)
    with pytest.raises(errors.NotRunError) as caught:
        call(client, 'r-9', timeout_s=0.05)
    assert caught.value.reason == 'no-connection'
    gevent.killall(blocked)
    gevent.sleep(0.1)
    assert client._pool.in_use == 0


@pytest.mark.parametrize('idle_s', [None, 0.3])
def test_idle_loss_counts_only_if_connections_were_kept(start, idle_s):
    """A server that keeps no idle connection must not seem to restart."""
    first = OK if idle_s else answer_and_close
    backend = start(first, *[answer_and_close] * 2)
    client = backend.connect()
    call(client)
    gevent.sleep(idle_s or 0.02)
    for _ in range(3):
        call(client)
        gevent.sleep(0.02)
    resets = [e for e in backend.evidence if isinstance(e, states.Reset)]
    assert resets == [states.Reset(survivors=False)] * (2 if idle_s else 0)


def lose_idle_connection(start):
    """Returns a server and a client whose connection was lost 1.5 s ago."""
    backend = start(OK, answer_and_close, OK)
    client = backend.connect()
    call(client)
    gevent.sleep(0.2)
    call(client)
    gevent.sleep(1.5)
    return backend, client


@pytest.mark.parametrize('is_paused', [True, False])
def test_restart_during_a_pause_is_found(start, is_paused):
    """After a pause, a node must not take a new process for the old one."""
    backend, client = lose_idle_connection(start)
    if is_paused:
        client.check_after_pause(clocks.read_now(), 1.4)
        assert backend.evidence[-1] == states.Reset(survivors=False)
    call(client)
    resets = [e for e in backend.evidence if isinstance(e, states.Reset)]
    # Without a pause the server may have closed an idle connection.
    assert resets == [states.Reset(survivors=False)] * is_paused


def test_restart_found_before_the_pause_is_judged_again(start):
    """A poll may find the loss before the pause is detected.

    The poll takes the loss for the close of an idle connection.
    """
    backend, client = lose_idle_connection(start)
    call(client)
    assert states.Reset(survivors=False) not in backend.evidence
    client.check_after_pause(clocks.read_now(), 1.4)
    assert backend.evidence[-1] == states.Reset(survivors=False)


def test_restart_found_on_idle_connections_counts_once(start):
    """One restart must restart the ramp once, not once per connection."""

    def run_three(name):
        calls = [gevent.spawn(call, client, f'{name}{i}') for i in range(3)]
        gevent.joinall(calls, timeout=1.0)
        assert [c.value.body for c in calls] == [b'ok'] * 3

    scripts = [lambda sock: gevent.sleep(0.02) or sock.sendall(OK)] * 9
    backend = start(*scripts)
    client = backend.connect()
    run_three('a')
    gevent.sleep(0.3)
    run_three('b')
    for sock in backend.sockets:
        sock.close()
    gevent.sleep(0.02)
    run_three('c')
    resets = [e for e in backend.evidence if isinstance(e, states.Reset)]
    assert resets == [states.Reset(survivors=False)]


@pytest.mark.parametrize('has_survivor', [True, False])
def test_reset_is_judged_by_surviving_connections(start, has_survivor):
    """One failed call must not restart the ramp of a running server."""
    backend = start(OK, reset)
    client = backend.connect()
    if has_survivor:
        client.poll('/.backend/health', 1.0)
    else:
        call(client, 'r-0')
    with pytest.raises(errors.OutcomeUnknownError):
        call(client)
    gevent.sleep(0.05)
    assert states.Reset(survivors=has_survivor) in backend.evidence
