"""Tests of the command ``route`` against a fake admin server."""

import json

import pytest
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.node import admin
from jayseam.tools import ctl
from jayseam.tools import nodes

ANSWER = {
    'preset_version': 7,
    'vms_version': 2,
    'route': {
        'name': 'w',
        'host': 'shop.test',
        'prefix': '/w',
        'methods': ['GET'],
        'targets': [['s', 1]],
        'timeout_ms': 1000,
    },
    'decision': {
        'vm': 'vm-1',
        'is_random': True,
        'probability': 0.75,
        'n_choices': 400,
        'first_choices': ['vm-1', 'vm-2'],
        'strategy': 'two_choices',
        'own_zone': 'a',
    },
    'candidates': [
        {
            'vm': 'vm-1',
            'upstream': 'u1',
            'zone': 'a',
            'service': 's',
            'state': 'alive, ready',
            'usable': True,
            'load': 0.5,
            'expected_s': 0.0902,
            'probability': 0.75,
            'reason': 'usable',
        },
        {
            'vm': 'vm-2',
            'upstream': 'u2',
            'zone': 'b',
            'service': 's',
            'state': 'alive, ready',
            'usable': True,
            'load': 0.0,
            'expected_s': None,
            'probability': 0.25,
            'reason': 'usable',
        },
    ],
}


class _Node:
    """The admin application of a node whose decision is given.

    Attributes:
      answer: Answer to the query, or the error that it raises.
      queries: Queries received.
      address: Address of the server.
    """

    def __init__(self):
        self.answer = ANSWER
        self.queries = []
        self.address = ''

    def decide(self, query):
        """Returns or raises the answer."""
        self.queries.append(query)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


@pytest.fixture(name='node')
def _node():
    node = _Node()
    application = admin.AdminApplication(dict, dict, node.decide)
    server = pywsgi.WSGIServer(('127.0.0.1', 0), application, log=None)
    server.start()
    node.address = f'127.0.0.1:{server.server_port}'
    yield node
    server.stop()


def _build_arguments(node, *options):
    return ['route', node.address, '--path', '/w/1?x=1', *options]


def test_text_shows_route_decision_and_candidates(node, capsys):
    """On-call must see the decision, that it is random, and each reason."""
    code = ctl.main(
        _build_arguments(
            node, '--host', 'shop.test', '--method', 'POST', '--zone', 'b'
        )
    )
    assert code == nodes.EXIT_OK
    (query,) = node.queries
    assert (query.host, query.method, query.zone, query.path) == (
        'shop.test',
        'POST',
        'b',
        '/w/1?x=1',
    )
    route, decision, header, first, second = (
        capsys.readouterr().out.splitlines()
    )
    assert route.startswith('route: name=w host=shop.test prefix=/w')
    assert decision == (
        'decision: random: vm-1 in 75% of 400 choices (strategy two_choices, '
        'from zone a); first draws: vm-1, vm-2'
    )
    assert header.split()[-3:] == ['expected_ms', 'share', 'reason']
    assert '90.20' in first and '75%' in first
    assert ' -  ' in second


def test_json_is_the_whole_answer(node, capsys):
    """Programs must get all that the node knows."""
    assert ctl.main(_build_arguments(node, '--json')) == nodes.EXIT_OK
    assert json.loads(capsys.readouterr().out) == ANSWER


def test_sure_choice_is_not_called_random(node, capsys):
    """A choice that can't differ must look so."""
    node.answer = {
        **ANSWER,
        'decision': {**ANSWER['decision'], 'is_random': False},
    }
    assert ctl.main(_build_arguments(node)) == nodes.EXIT_OK
    out = capsys.readouterr().out
    assert 'decision: vm-1 (strategy two_choices, from zone a)\n' in out


def test_refusal_is_negative(node, capsys):
    """Scripts must see that a call would be refused."""
    node.answer = {**ANSWER, 'decision': {**ANSWER['decision'], 'vm': None}}
    assert ctl.main(_build_arguments(node)) == nodes.EXIT_NEGATIVE
    assert 'refused: no usable candidate' in capsys.readouterr().out


@pytest.mark.parametrize('options', [[], ['--json']])
@pytest.mark.parametrize(
    'error',
    [
        errors.NoRouteError('no route for /w/1'),
        errors.MethodError('/w/1 takes GET'),
        errors.BadRequestError('no zone z in the preset'),
        errors.NotRunError('no preset is in force'),
    ],
)
def test_unmatched_call_is_a_clear_error(node, capsys, error, options):
    """An operator must tell a missing route from a node that is away."""
    node.answer = error
    code = ctl.main(_build_arguments(node, *options))
    assert code == nodes.EXIT_NEGATIVE
    out, err = capsys.readouterr()
    assert not out and error.detail in err and error.code in err


def test_node_of_an_older_version_is_no_missing_route(node, capsys):
    """Its answer 404 is about the resource, not about the call."""

    def answer(environ, start_response):
        del environ
        start_response('404 Not Found', [])
        return [b'{"error": "unknown path"}']

    server = pywsgi.WSGIServer(('127.0.0.1', 0), answer, log=None)
    server.start()
    node.address = f'127.0.0.1:{server.server_port}'
    assert ctl.main(_build_arguments(node)) == nodes.EXIT_UNREACHABLE
    assert 'status 404' in capsys.readouterr().err
    server.stop()


def test_unreachable_node_has_its_own_code(capsys):
    """A script must not take it for a refusal."""
    arguments = ['route', '127.0.0.1:1', '--path', '/w']
    assert ctl.main(arguments) == nodes.EXIT_UNREACHABLE
    assert '127.0.0.1:1' in capsys.readouterr().err


def test_path_is_required(node):
    """A query without a path has no route to look for."""
    with pytest.raises(SystemExit) as caught:
        ctl.main(['route', node.address])
    assert caught.value.code == nodes.EXIT_USAGE
