"""Tests of the faulty answers of a backend server."""

import pytest
from gevent import socket

from jayseam.standins import answerfaults
from jayseam.standins import platformbackend
from jayseam.standins import serving

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\nJayseam-Request-Id: r-1\r\n\r\n'


@pytest.fixture(name='read')
def read_fixture():
    """Reads what a backend server with a fault sends, up to a size."""
    backend = platformbackend.Backend('i-1', 0.0)
    server = serving.Server(('127.0.0.1', 0), backend)
    server.start()

    def read(fault, size_bytes):
        backend.answer_fault = fault
        address = ('127.0.0.1', server.server_port)
        data = b''
        with socket.create_connection(address) as sock:
            sock.sendall(REQUEST)
            while len(data) < size_bytes and (block := sock.recv(65536)):
                data += block
        return data

    yield read
    server.stop_at_once()


@pytest.mark.parametrize(
    'kind',
    [
        k
        for k in answerfaults.registry.list_names()
        if k not in ('cut', 'status')
    ],
)
def test_stream_goes_on(read, kind):
    """A stream that ends by itself would show no unbounded growth."""
    assert len(read(answerfaults.AnswerFault(kind), 500_000)) >= 500_000


@pytest.mark.parametrize('form', ['length', 'chunked', 'unsized'])
def test_cut_ends_at_its_byte(read, form):
    """A cut elsewhere would test another position than the one named."""
    for cut_at in (0, 1, 17, 40):
        fault = answerfaults.AnswerFault(form=form, cut_at=cut_at)
        assert len(read(fault, 1_000)) == cut_at


def test_cut_resets(read):
    """A close in place of a reset would end an answer without a length."""
    fault = answerfaults.AnswerFault(cut_at=17, reset=True)
    with pytest.raises(ConnectionResetError):
        read(fault, 1_000)


@pytest.mark.parametrize('form', ['length', 'chunked'])
def test_broken_status_is_the_only_fault(read, form):
    """Another fault of the answer would hide that its status was accepted."""
    fault = answerfaults.AnswerFault('status', form=form, status='099')
    data = read(fault, 1_000)
    assert data.startswith(b'HTTP/1.1 099 OK\r\n')
    head, _, body = data.partition(b'\r\n\r\n')
    assert b'r-1' in head and b'x' * fault.size_bytes in body
