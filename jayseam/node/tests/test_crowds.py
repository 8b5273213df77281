"""A real node beside callers that send or hold more than its limits allow.

The tests check that the process survives, that its memory and descriptors stay
under bounds, and that a request is answered while the crowd is connected.
"""

import contextlib
import os
import pathlib
import resource

import gevent
import pytest
from gevent import socket

from jayseam.node.tests import fleets
from jayseam.presets import samples
from jayseam.standins import waits

N_CALLERS = 60
# A crowd that the descriptors of the process can't all hold.
N_IDLE_CALLERS = 300
MAX_DESCRIPTORS = 256
# Descriptors that a crowd must leave for links, backend server and store.
MIN_FREE_DESCRIPTORS = 32
MAX_GROWTH_KB = 40_000
MESSAGE_BYTES = 4_000_000
# Bytes that one caller of the crowd sends at most.
MAX_SENT_BYTES = 6_000_000
BLOCK_BYTES = 60_000
N_SLOW_BYTES = 200
SLOW_PAUSE_S = 0.01
SEND_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 30.0
PATH = '/service-01/1'

_LINE = b'GET /service-01/1 HTTP/1.1\r\n'
_HEAD = _LINE + b'Host: node\r\n'
_REQUEST = _HEAD + b'\r\n'
_CHUNKED = (
    b'POST /service-01/1 HTTP/1.1\r\nHost: node\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_FIELD = b'X: ' + b'a' * (BLOCK_BYTES - 5) + b'\r\n'
# First bytes of each caller, and bytes that it repeats.
STREAMS = {
    'unfinished heads': (_HEAD, _FIELD, 95),
    'endless request line': (b'GET /', b'a' * BLOCK_BYTES, 100),
    'endless field': (_HEAD + b'X: ', b'a' * BLOCK_BYTES, 100),
    'empty lines first': (b'', b'\r\n' * (BLOCK_BYTES // 2), 100),
    'empty lines behind': (_REQUEST, b'\r\n' * (BLOCK_BYTES // 2), 100),
    'answers unread': (b'', _REQUEST * 1000, 100),
    'chunk extension': (_CHUNKED + b'1;', b'a' * BLOCK_BYTES, 100),
    'chunk extensions': (_CHUNKED, b'1;' + b'a' * 4000 + b'\r\nx\r\n', 1500),
    'trailer': (_CHUNKED + b'0\r\nX: ', b'a' * BLOCK_BYTES, 100),
    'trailers': (_CHUNKED + b'0\r\n', b'Ab: c\r\n' * 8000, 100),
}


@contextlib.contextmanager
def _lower_descriptor_limit():
    """Starts processes of the block with few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    deployment = samples.build_large(2, 1, 2, 1, 1, ramp=fleets.FAST_RAMP)
    with contextlib.ExitStack() as stack:
        with _lower_descriptor_limit():
            fleet = stack.enter_context(
                fleets.start_fleet(
                    deployment,
                    node={'memory': {'message_bytes': MESSAGE_BYTES}},
                )
            )
        fleet.wait_admitting(PATH)
        yield fleet


@pytest.fixture(name='process', scope='module')
def _process(fleet):
    return Process(fleet)


class Process:
    """Memory and descriptors of the node of a fleet.

    The memory is compared with that before the first crowd, because memory
    that a crowd took may be free but still belong to the process.
    """

    def __init__(self, fleet):
        self.vm = _get_vm(fleet)
        self._directory = pathlib.Path(f'/proc/{self.vm.process.pid}')
        self._first_kb = self._read_peak_kb()

    def read_growth_kb(self):
        """Returns by how much the memory has grown at the most."""
        return self._read_peak_kb() - self._first_kb

    def count_descriptors(self):
        """Returns the number of open descriptors."""
        return len(os.listdir(self._directory / 'fd'))

    def _read_peak_kb(self):
        text = (self._directory / 'status').read_text('utf-8')
        (line,) = [x for x in text.splitlines() if x.startswith('VmHWM')]
        return int(line.split()[1])


def _get_vm(fleet):
    """Returns the VM whose node a crowd calls."""
    return next(iter(fleet.cluster.vms.values()))


def _connect(port):
    sock = socket.create_connection(('127.0.0.1', port), CONNECT_TIMEOUT_S)
    sock.settimeout(SEND_TIMEOUT_S)
    return sock


def _send(sock, blocks, pause_s):
    """Sends blocks until the node ends the connection or takes no more."""
    with contextlib.suppress(OSError), gevent.Timeout(SEND_TIMEOUT_S, False):
        for block in blocks:
            sock.sendall(block)
            gevent.sleep(pause_s)


def _send_crowd(fleet, process, port, blocks, pause_s=0.0):
    """Has a crowd send, then checks the node beside the open connections."""
    descriptors = process.count_descriptors()
    callers = [_connect(port) for _ in range(N_CALLERS)]
    jobs = [gevent.spawn(_send, sock, blocks, pause_s) for sock in callers]
    gevent.joinall(jobs, raise_error=True)
    _check(fleet, process, descriptors + N_CALLERS + MIN_FREE_DESCRIPTORS)
    for sock in callers:
        sock.close()


def _check(fleet, process, max_descriptors):
    """Checks the process, its memory and descriptors, and one request."""
    growth_kb, descriptors = process.read_growth_kb(), None
    with contextlib.suppress(OSError):
        descriptors = process.count_descriptors()
    print(f'growth {growth_kb} kB, descriptors {descriptors}')
    assert process.vm.process.returncode is None
    assert growth_kb < MAX_GROWTH_KB
    assert descriptors <= max_descriptors
    (key,) = fleet.keys.values()
    answer = fleet.cluster.call(
        process.vm.name, PATH, key, timeout_s=ANSWER_TIMEOUT_S
    )
    assert answer.status == 200
    status = fleet.cluster.read_status(process.vm.name, ANSWER_TIMEOUT_S)
    assert status['state'] == 'serving'


@pytest.mark.parametrize('name', STREAMS)
def test_streams_of_callers_stay_bounded(fleet, process, name):
    """Requests without end must not fill the memory of the process."""
    first, repeated, n_blocks = STREAMS[name]
    assert len(first) + len(repeated) * n_blocks <= MAX_SENT_BYTES * 2
    _send_crowd(
        fleet, process, process.vm.caller_port, [first] + [repeated] * n_blocks
    )


@pytest.mark.parametrize('first', [b'', _LINE, _CHUNKED + b'1;'])
def test_bytes_that_come_one_at_a_time_stay_bounded(fleet, process, first):
    """Callers that send byte by byte must not keep others from being served."""
    blocks = [first] + [b'a'] * N_SLOW_BYTES
    _send_crowd(fleet, process, process.vm.caller_port, blocks, SLOW_PAUSE_S)


@pytest.mark.parametrize(
    'name', ['unfinished heads', 'endless field', 'trailers']
)
def test_streams_to_the_admin_listener_stay_bounded(fleet, process, name):
    """The listener for operators must have the bounds of that for callers."""
    first, repeated, n_blocks = STREAMS[name]
    _send_crowd(
        fleet, process, process.vm.admin_port, [first] + [repeated] * n_blocks
    )


@pytest.mark.parametrize('first', [b'', _HEAD])
def test_peers_before_the_handshake_stay_bounded(fleet, process, first):
    """Peers that aren't authenticated must not fill the memory."""
    _send_crowd(fleet, process, process.vm.link_port, [first] + [_FIELD] * 95)


@pytest.mark.parametrize('listener', ['caller_port', 'admin_port', 'link_port'])
@pytest.mark.parametrize('first', [b'', _REQUEST])
def test_connections_leave_descriptors_for_the_node(
    fleet, process, listener, first
):
    """A crowd must not take the descriptors of links, server and store."""
    port = getattr(process.vm, listener)
    callers = []
    try:
        with contextlib.suppress(OSError):
            for _ in range(N_IDLE_CALLERS):
                callers.append(_connect(port))
        for sock in callers:
            with contextlib.suppress(OSError):
                sock.sendall(first)
        _check(fleet, process, MAX_DESCRIPTORS - MIN_FREE_DESCRIPTORS)
    finally:
        for sock in callers:
            sock.close()
    waits.wait_until(
        lambda: process.count_descriptors() < MAX_DESCRIPTORS // 2,
        ANSWER_TIMEOUT_S,
    )
