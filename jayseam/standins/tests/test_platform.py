"""Tests of the platform stand-in through real sockets."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import platform
from jayseam.standins.tests import clients


class _Client(clients.StandinClient):
    """Reads from and controls one platform."""

    def __init__(self, **settings):
        settings = platform.PlatformSettings(**settings)
        super().__init__(platform.Platform(settings))

    def publish(self, key, value):
        answer = self.control('publish', key=key, value=value)
        return answer['revisions'][key]

    def get(self, path):
        address = (clients.HOST, self.standin.port)
        return exchanges.exchange_once(address, 'GET', path)


@pytest.fixture(name='make_client')
def _make_client():
    yield from clients.provide_clients(_Client)


def test_watch_gets_the_next_revision(make_client):
    """A publication must end a watch; its wait would delay convergence."""
    client = make_client()
    first = client.publish('channels/preset', 'one')
    path = f'/v1/values/channels/preset?after={first}&wait_s=3'
    watch = gevent.spawn(client.get, path)
    gevent.sleep(0.05)
    started_at = clocks.read_now()
    second = client.publish('channels/preset', 'two')
    answer = watch.get(timeout=2.0)
    assert clocks.read_now() - started_at < 1.0
    assert (answer.status, answer.body) == (200, b'two')
    assert int(answer.headers['Revision']) == second > first


def test_watch_ends_with_304_and_missing_with_404(make_client):
    """The status must distinguish "nothing newer" from "no such value"."""
    client = make_client()
    first = client.publish('a', 'one')
    path = f'/v1/values/a?after={first}&wait_s=0.1'
    assert client.get(path).status == 304
    assert client.get('/v1/values/b').status == 404


def test_calls_over_the_budget_get_429(make_client):
    """Calls over the platform's budget must be refused, as in production."""
    client = make_client(budget_per_s=5)
    client.publish('a', 'one')
    statuses = [client.get('/v1/values/a').status for _ in range(12)]
    assert 429 in statuses
    counts = client.control('counts')
    assert counts['totals']['read.a'] == 12
    assert counts['totals']['refused'] == statuses.count(429)
    assert counts['peak_per_second'] > 5


def test_vm_list_lags(make_client):
    """The lag must hide a change of the VM list, then show it to watches."""
    client = make_client()
    client.control('vms', body='{"vms": []}')
    answer = client.get('/v1/vms')
    client.control('vms', body='{"vms": [1]}', lag_s=0.2)
    assert client.get('/v1/vms').body == answer.body
    path = f'/v1/vms?after={answer.headers["Revision"]}&wait_s=2'
    assert client.get(path).body == b'{"vms": [1]}'


def test_down_refuses_and_comes_back_on_the_same_port(make_client):
    """An outage must cause refused connections or status 503, and end."""
    client = make_client()
    client.publish('a', 'one')
    client.control('fault', down='refuse')
    with pytest.raises(errors.ExchangeError) as refused:
        client.get('/v1/values/a')
    assert not refused.value.sent
    client.control('fault', down='answer-503')
    assert client.get('/v1/values/a').status == 503
    client.control('fault', clear=True)
    assert client.get('/v1/values/a').status == 200


def test_stale_serves_an_earlier_revision(make_client):
    """A stale replica must hide later revisions until it catches up."""
    client = make_client()
    client.publish('a', 'one')
    client.control('fault', stale=True)
    client.publish('a', 'two')
    assert client.get('/v1/values/a').body == b'one'
    client.control('fault', stale=False)
    assert client.get('/v1/values/a').body == b'two'


def test_disorder_serves_an_update_after_a_newer_one(make_client):
    """Updates out of order must reach the readers out of order."""
    client = make_client()
    client.publish('a', 'one')
    client.publish('a', 'two')
    client.control('fault', disorder=True)
    bodies = [client.get('/v1/values/a').body for _ in range(2)]
    assert bodies == [b'two', b'one']


@pytest.mark.parametrize(
    'kind, status', [('altered', 200), ('truncated', 200), ('missing', 404)]
)
def test_parts_are_damaged(make_client, kind, status):
    """Damaged parts must be served, so that readers have to detect them."""
    client = make_client()
    client.publish('parts/12', 'content')
    client.control('fault', parts=kind)
    answer = client.get('/v1/values/parts/12')
    assert answer.status == status and answer.body != b'content'


def test_slow_answers_wait(make_client):
    """A slow source must delay each answer by the given time."""
    client = make_client()
    client.publish('a', 'one')
    client.control('fault', slow_ms=150)
    started_at = clocks.read_now()
    client.get('/v1/values/a')
    assert clocks.read_now() - started_at >= 0.15


def test_values_over_the_limit_are_refused(make_client):
    """The platform accepts values up to 1 MB and must refuse larger ones."""
    client = make_client()
    with pytest.raises(errors.ControlError):
        client.publish('a', 'x' * (platform.MAX_VALUE_BYTES + 1))
