"""Listings of a store that sends pages without end."""

import itertools
import json
import tracemalloc

import pytest
from gevent import pywsgi

from jayseam.platform import store
from jayseam.source import errors

MAX_PEAK_BYTES = 40_000_000


@pytest.fixture(name='dense_client')
def dense_client_fixture():
    """Starts a store that replies with very many small values."""

    def answer(environ, start_response):
        del environ
        start_response('200 OK', [('Content-Type', 'application/json')])
        values = b'{},' * 1_300_000
        return [b'{"as_of": 7, "items": [%s{}]}' % values]

    listener = pywsgi.WSGIServer(('127.0.0.1', 0), answer, log=None)
    listener.start()
    client = store.StoreClient(f'127.0.0.1:{listener.server_port}')
    yield client
    client.close()
    listener.stop(timeout=0.1)


def test_many_small_values_do_not_fill_the_memory(dense_client):
    """A reply within its bound of bytes takes 25 times as much decoded."""
    tracemalloc.start()
    try:
        with pytest.raises(errors.SourceReplyError):
            dense_client.list_items('')
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_PEAK_BYTES


@pytest.fixture(name='client')
def client_fixture():
    """Starts a store whose every page announces another one."""
    numbers = itertools.count()

    def answer(environ, start_response):
        del environ
        value = 'A' * 900_000
        item = {'key': f'k{next(numbers)}', 'value': value, 'revision': 7}
        start_response('200 OK', [('Content-Type', 'application/json')])
        page = {'items': [item], 'as_of': 7, 'more_pages': True}
        return [json.dumps(page).encode()]

    listener = pywsgi.WSGIServer(('127.0.0.1', 0), answer, log=None)
    listener.start()
    client = store.StoreClient(f'127.0.0.1:{listener.server_port}')
    yield client
    client.close()
    listener.stop(timeout=0.1)


def test_pages_without_end_do_not_fill_the_memory(client):
    """A bound for each page lets a thousand pages fill the memory."""
    tracemalloc.start()
    try:
        with pytest.raises(errors.SourceReplyError):
            client.list_items('')
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_PEAK_BYTES
