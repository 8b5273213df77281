"""The command ``route`` at real nodes beside real calls."""

import json
import random

import pytest

from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import exchanges
from jayseam.standins import platformbackend
from jayseam.tools import ctl
from jayseam.tools import nodes


@pytest.fixture(name='fleet', scope='module')
def fleet_fixture():
    """Starts a fleet of three VMs, and ends it after the module."""
    fleet = fleets.Fleet(3)
    operator = operators.Operator(fleet, random.Random(1))
    routes = [samples.build_route('view')]
    configuration = samples.build_configuration('r2', routes, rate_per_s=10_000)
    operator.write(operators.CONFIGURATION_KEY, configuration)
    for ip, vm in fleet.vms.items():
        entry = {**fleet.build_entry(ip, 'ready', 1), 'slots': 4}
        operator.write(f'servers/{vm.backend.instance}', entry)
    fleet.start_all()
    yield fleet
    fleet.close()


def find_admin(fleet, ip):
    """Returns the admin address of a node."""
    host, port = fleet.get_admin_address(ip)
    return f'{host}:{port}'


def ask(fleet, capsys, *options, ip=None):
    """Returns the exit code, the output and the errors of the command."""
    admin = find_admin(fleet, ip or next(iter(fleet.vms)))
    code = ctl.main(['route', admin, *options])
    out, err = capsys.readouterr()
    return code, out, err


def send_call(fleet, request_id):
    """Sends a call to the first node; returns its status."""
    headers = {
        'Host': samples.HOST,
        platformbackend.REQUEST_ID_HEADER: request_id,
        platformbackend.DEADLINE_HEADER: '2500',
        'Authorization': f'Bearer {samples.KEYS["school"]}',
    }
    address = fleet.get_caller_address(next(iter(fleet.vms)))
    return exchanges.exchange_once(address, 'GET', '/view/1', headers).status


def count_arrivals(fleet):
    """Returns the calls that reached a backend server."""
    return sum(len(vm.backend.arrivals) for vm in fleet.vms.values())


def test_decision_names_where_calls_go(fleet, capsys):
    """An explanation that differs from what calls do misleads on-call."""
    for number in range(10):
        assert send_call(fleet, f'before-{number}') == 200
    before = count_arrivals(fleet)
    options = ['--host', samples.HOST, '--path', '/view/1', '--json']
    code, out, err = ask(fleet, capsys, *options)
    assert (code, err) == (nodes.EXIT_OK, '')
    answer = json.loads(out)
    assert answer['route']['prefix'].startswith('/view')
    assert {c['vm'] for c in answer['candidates']} == set(fleet.vms)
    expected = {c['vm'] for c in answer['candidates'] if c['probability']}
    assert answer['decision']['vm'] in expected
    assert any(c['expected_s'] for c in answer['candidates'])
    # Nothing was sent.
    assert count_arrivals(fleet) == before
    for number in range(10):
        assert send_call(fleet, f'after-{number}') == 200
    reached = {
        ip
        for ip, vm in fleet.vms.items()
        if any(a.request_id.startswith('after-') for a in vm.backend.arrivals)
    }
    assert reached <= expected


def test_missing_route_is_an_error(fleet, capsys):
    """A wrong host or path must be told from a call without a candidate."""
    options = ['--host', samples.HOST, '--path', '/nowhere']
    code, out, err = ask(fleet, capsys, *options)
    assert (code, out) == (nodes.EXIT_NEGATIVE, '')
    assert 'no route for /nowhere' in err
    code, _, err = ask(fleet, capsys, '--host', 'other.test', '--path', '/view')
    assert code == nodes.EXIT_NEGATIVE and 'no route' in err
    options = ['--host', samples.HOST, '--path', '/view/1', '--zone', 'nozone']
    code, _, err = ask(fleet, capsys, *options)
    assert code == nodes.EXIT_NEGATIVE and 'no zone nozone' in err


def test_text_names_each_vm_with_its_reason(fleet, capsys):
    """The table must list the VMs that get no calls, too."""
    options = ['--host', samples.HOST.upper(), '--path', '/view/1?a=b']
    code, out, _ = ask(fleet, capsys, *options)
    assert code == nodes.EXIT_OK and 'decision: ' in out
    print(out)
    for ip in fleet.vms:
        assert f'\n{ip}' in out
