"""Tests of the operator tool against a local admin server."""

import json

import pytest
from gevent import pywsgi

from jayseam.presets import documents
from jayseam.presets import samples
from jayseam.tools import ctl
from jayseam.tools import nodes

STATUS = {
    'vm': 'vm-1',
    'zone': 'a',
    'state': 'serving',
    'versions': {'preset': 7, 'keys': 3, 'vms': 2},
    'confirmed_age_s': 0.5,
    'unconfirmed': True,
    'zones': {'a': True, 'b': False},
    'backend': {'state': 'ready', 'limit': 10, 'in_flight': 2, 'queued': 0},
    'peers': [
        {'vm': 'vm-2', 'state': 'alive'},
        {'vm': 'vm-3', 'state': 'dead'},
    ],
    'rejected': ['x'],
}


class _AdminStub:
    """WSGI application in place of a node's admin listener.

    Attributes:
      queries: Query strings of the requests.
      usable: Whether ``/explain`` reports a usable candidate.
      body: Body of all responses; None for the usual bodies.
      address: Address of the server.
    """

    def __init__(self):
        self.queries = []
        self.usable = True
        self.body = None
        self.address = ''

    def __call__(self, environ, start_response):
        self.queries.append(environ['QUERY_STRING'])
        start_response('200 OK', [('Content-Type', 'application/json')])
        if self.body is not None:
            return [self.body]
        if environ['PATH_INFO'] == '/status':
            return [json.dumps(STATUS).encode()]
        candidate = {'vm': 'vm-1', 'upstream': 'u1', 'usable': self.usable}
        answer = {'route': 'r', 'workspace': 'w', 'candidates': [candidate]}
        return [json.dumps(answer).encode()]


@pytest.fixture(name='admin')
def _admin():
    application = _AdminStub()
    server = pywsgi.WSGIServer(('127.0.0.1', 0), application, log=None)
    server.start()
    application.address = f'127.0.0.1:{server.server_port}'
    yield application
    server.stop()


def test_status_shows_other_nodes_when_one_is_unreachable(admin, capsys):
    """An unreachable node must not hide the state of the other nodes."""
    code = ctl.main(['status', admin.address, '127.0.0.1:1'])
    out, err = capsys.readouterr()
    assert code == nodes.EXIT_UNREACHABLE
    assert 'vm-1' in out and 'serving (unconfirmed)' in out
    assert '2/10' in out and '1/2' in out
    assert '127.0.0.1:1' in err


def test_status_as_json_is_whole(admin, capsys):
    """Scripts must get the complete status document of the node."""
    assert ctl.main(['status', '--json', admin.address]) == nodes.EXIT_OK
    assert json.loads(capsys.readouterr().out) == {admin.address: STATUS}


def test_explain_reports_that_no_candidate_is_usable(admin, capsys):
    """A call that cannot be routed must be visible in the exit code."""
    arguments = ['explain', admin.address, '--workspace', 'w&x', '--path', '/p']
    assert ctl.main(arguments) == nodes.EXIT_OK
    assert admin.queries[-1] == 'workspace=w%26x&path=%2Fp&method=GET'
    admin.usable = False
    assert ctl.main(arguments) == nodes.EXIT_NEGATIVE
    assert 'route: r' in capsys.readouterr().out


def test_answer_that_is_no_json_is_an_error(admin, capsys):
    """A wrong port must give an error message instead of a traceback."""
    admin.body = b'<html>'
    assert ctl.main(['status', admin.address]) == nodes.EXIT_UNREACHABLE
    assert 'no JSON answer' in capsys.readouterr().err


@pytest.mark.parametrize('address', ['host', 'host:0', ':80', 'host:x'])
def test_malformed_address_is_wrong_usage(address):
    """A malformed address must not be taken for an unreachable node."""
    assert ctl.main(['status', address]) == nodes.EXIT_USAGE


def test_unreadable_file_is_wrong_usage(tmp_path, capsys):
    """A missing or malformed file must differ from a rejected preset."""
    assert ctl.main(['check', str(tmp_path / 'absent')]) == nodes.EXIT_USAGE
    (tmp_path / 'bad').write_text('{')
    assert ctl.main(['check', str(tmp_path / 'bad')]) == nodes.EXIT_USAGE
    assert 'bad' in capsys.readouterr().err


@pytest.fixture(name='preset')
def _preset():
    return documents.dump_preset(samples.build_agence().preset)


def _write(directory, name, document):
    path = directory / name
    path.write_bytes(documents.encode_json(document))
    return str(path)


def test_check_lists_every_reason(tmp_path, preset, capsys):
    """The tool must reject a preset for the same reasons as a node would."""
    assert (
        ctl.main(['check', _write(tmp_path, 'good', preset)]) == nodes.EXIT_OK
    )
    preset['routes'][0]['targets'] = [['nowhere', 1]]
    preset['upstreams'][0]['zone'] = 'nozone'
    assert (
        ctl.main(['check', _write(tmp_path, 'bad', preset)])
        == nodes.EXIT_NEGATIVE
    )
    out = capsys.readouterr().out
    assert 'nowhere' in out and 'nozone' in out


def test_diff_shows_what_changes(tmp_path, preset, capsys):
    """Operators must see what a preset changes before it is in force."""
    before = _write(tmp_path, 'before', preset)
    assert ctl.main(['diff', before, before]) == nodes.EXIT_OK
    preset['zones'][0]['in_service'] = False
    after = _write(tmp_path, 'after', preset)
    assert ctl.main(['diff', before, after]) == nodes.EXIT_NEGATIVE
    assert 'in_service: True -> False' in capsys.readouterr().out
    preset['zones'] = []
    wrong = _write(tmp_path, 'wrong', preset)
    assert ctl.main(['diff', before, wrong]) == nodes.EXIT_NEGATIVE


def test_follow_orders_the_lines_of_several_nodes(tmp_path, capsys):
    """The log lines of a forwarded request are merged in order of time."""
    entry, other = tmp_path / 'entry.log', tmp_path / 'other.log'
    entry.write_text(
        '{"time": "10:00:02", "vm": "vm-1", "event": "call.refused",'
        ' "request_id": "r1", "code": "not-run"}\n'
        'not json {\n'
    )
    other.write_text(
        '1.5 vm-2 {"time": "10:00:01", "vm": "vm-2", "event": "call.attempt",'
        ' "request_id": "r1"}\n'
        '{"time": "10:00:01", "event": "call.attempt", "request_id": "r2"}\n'
    )
    assert ctl.main(['follow', 'r1', str(entry), str(other)]) == 0
    out = capsys.readouterr().out.splitlines()
    assert [line.split()[1] for line in out] == ['vm-2', 'vm-1']
    assert ctl.main(['follow', 'r9', str(entry)]) == 1
    assert ctl.main(['follow', 'r1', str(tmp_path / 'none.log')]) == 2
