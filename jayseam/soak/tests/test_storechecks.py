"""Tests of the checks on the operators' platform: each finds violations."""

import attrs
import pytest

from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.soak import probes
from jayseam.soak import storechecks
from jayseam.standins import platformbackend
from jayseam.tools import records

_IP = '127.0.2.1'
_OTHER_IP = '127.0.2.2'
_LASTING = frozenset([probes.LASTING_KEY])
_NEVER = float('inf')


def _build_version(number, sent_at, routes=(), keys=()):
    return operators.Version(
        number,
        frozenset(['view', *routes]),
        frozenset(['open']),
        _LASTING | frozenset(keys),
        sent_at,
    )


def _build_state(at, version, evacuated=(), draining=()):
    return operators.StoreState(
        at, version, frozenset(evacuated), frozenset(draining)
    )


def _build_probe(sent, status, route='view', key=probes.LASTING_KEY, echo=''):
    call = records.CallRecord(
        workspace='school',
        method='GET',
        path=f'/{route}/1',
        echo=echo or f'{sent}',
        idempotency_key='',
        repeat=False,
        scheduled=sent,
        sent=sent,
        ended=sent + 0.01,
        target=_IP,
        status=status,
        outcome='ok' if status == 200 else f'status-{status}',
    )
    return probes.Probe(route, key, call)


def _build_arrival(at, request_id):
    return platformbackend.Arrival(request_id, at, 'school', '', '', 900, True)


# r1 has the route `old` and the key `k1`; r2, confirmed at 10, has the route
# `new` instead and no `k1`.
_QUIET_RUN = storechecks.Observations(
    sent_probes=(),
    arrivals={_IP: (), _OTHER_IP: ()},
    versions=(
        _build_version(1, 0.0, ['old'], ['k1']),
        _build_version(2, 9.9, ['new']),
    ),
    orders=(),
    states=(_build_state(0.0, 1), _build_state(10.0, 2)),
    core_disruptions=(),
    boots={_IP: (fleets.Span(0.0),), _OTHER_IP: (fleets.Span(0.0),)},
    node_disruptions={_IP: (), _OTHER_IP: ()},
)


def _find_violated_checks(runs=(), **changes):
    """Returns the names of the checks that find a violation.

    Args:
      runs: Probes that ran; each ran at its time at the other VM.
      **changes: Changed fields of a run without findings.
    """
    arrivals = [_build_arrival(p.call.sent, p.call.echo) for p in runs]
    observations = attrs.evolve(
        _QUIET_RUN,
        **{
            'arrivals': {_IP: (), _OTHER_IP: arrivals},
            'sent_probes': runs,
            **changes,
        },
    )
    return [finding.check for finding in storechecks.run_checks(observations)]


def _restore_at(at):
    """Returns the changes of a run in which the store loses r2."""
    states = (*_QUIET_RUN.states, _build_state(at, 1), _build_state(at + 1, 2))
    return {'states': states, 'core_disruptions': (fleets.Span(at, at),)}


def test_a_run_that_keeps_all_promises_has_no_findings():
    """Old versions may be in force until their deadlines."""
    runs = [
        _build_probe(11.9, 200, 'old'),
        _build_probe(14.9, 200, key='k1', echo='late'),
        _build_probe(13.0, 200, 'new'),
    ]
    runs[1].call.target = _OTHER_IP
    boots = {**_QUIET_RUN.boots, _OTHER_IP: (fleets.Span(14.0),)}
    assert not _find_violated_checks(runs, boots=boots)
    refused = (
        _build_probe(12.1, 404, 'old'),
        _build_probe(12.2, 401, key='k1'),
    )
    assert not _find_violated_checks(sent_probes=refused)


def test_an_older_version_is_found_after_the_deadline():
    """A dropped route that runs and a new one that gets 404 are findings."""
    assert _find_violated_checks([_build_probe(12.1, 200, 'old')]) == [
        'configuration'
    ]
    denied = (_build_probe(12.1, 404, 'new'),)
    assert _find_violated_checks(sent_probes=denied) == ['configuration']


def test_a_node_out_of_touch_has_time_to_catch_up():
    """After a disruption, bounds begin when it has been calm for a while."""
    denied = (_build_probe(16.0, 404, 'new'),)
    for name, spans in (
        ('core_disruptions', (fleets.Span(8.0, 14.0),)),
        ('node_disruptions', {_IP: (fleets.Span(8.0, 14.0),), _OTHER_IP: ()}),
    ):
        assert not _find_violated_checks(sent_probes=denied, **{name: spans})
        late = (_build_probe(17.1, 404, 'new'),)
        assert _find_violated_checks(sent_probes=late, **{name: spans}) == [
            'configuration'
        ]


def test_a_restore_excuses_no_return_to_an_older_version():
    """What was in force at a node stays so when the store forgets it."""
    denied = (_build_probe(20.5, 404, 'new'),)
    assert _find_violated_checks(sent_probes=denied, **_restore_at(20.0)) == [
        'configuration'
    ]
    # A process that started later can't know it.
    boots = {**_QUIET_RUN.boots, _IP: (fleets.Span(19.0),)}
    assert not _find_violated_checks(
        sent_probes=denied, boots=boots, **_restore_at(20.0)
    )


def test_an_effect_that_was_seen_binds_at_once():
    """A node must not go back even before the deadline."""
    runs = [_build_probe(10.1, 200, 'new'), _build_probe(10.5, 200, 'old')]
    assert _find_violated_checks(runs) == ['configuration']


def test_a_withdrawn_key_is_found_at_any_node():
    """The deadline of withdrawn keys binds nodes out of touch, too."""
    probe = _build_probe(15.1, 200, key='k1')
    core = (fleets.Span(9.0, _NEVER),)
    assert _find_violated_checks([probe], core_disruptions=core) == [
        'withdrawn-key'
    ]


def test_a_key_runs_until_its_withdrawal_is_confirmed_again():
    """The deadline counts from the confirmation that was given last."""
    probe = _build_probe(15.1, 200, key='k1')
    boots = {**_QUIET_RUN.boots, _IP: (fleets.Span(12.9),)}
    lost = _restore_at(11.5)
    assert not _find_violated_checks([probe], boots=boots, **lost)


def test_a_denial_in_an_outage_is_found():
    """A node that can't read the store must not blame a request."""
    outage = (fleets.Span(1.0, 20.0),)
    denied = (_build_probe(15.0, 404, 'new'),)
    assert _find_violated_checks(
        sent_probes=denied, core_disruptions=outage
    ) == ['denied-in-doubt']
    right = (_build_probe(15.0, 404, 'nothing'),)
    assert not _find_violated_checks(sent_probes=right, core_disruptions=outage)


@pytest.mark.parametrize(
    'kind, bound_s', [('evacuated', 5.0), ('draining', 2.0)]
)
def test_a_request_to_a_server_that_gets_none_is_found(kind, bound_s):
    """An order holds from its deadline to its end, also if it gets lost."""
    order = operators.Order(kind, 'x', [_OTHER_IP], 9.9, 30.0)
    states = (
        _build_state(0.0, 2),
        _build_state(10.0, 2, **{kind: ['x']}),
        _build_state(20.0, 2),
        _build_state(21.0, 2, **{kind: ['x']}),
    )

    def find(at):
        return _find_violated_checks(
            [_build_probe(at, 200)], orders=(order,), states=states
        )

    assert not find(10.0 + bound_s - 0.1)
    assert find(10.0 + bound_s + 0.1) == ['orders']
    assert find(20.5) == ['orders']
    assert not find(30.1)


def test_a_node_that_serves_nothing_in_calm_times_is_found():
    """A node must serve what is always allowed."""
    refused = [_build_probe(20.0 + number, 503) for number in range(6)]
    assert _find_violated_checks(sent_probes=refused) == ['serving']
    core = (fleets.Span(14.0, 24.0),)
    assert not _find_violated_checks(sent_probes=refused, core_disruptions=core)


def test_a_refused_public_request_is_found():
    """Requests without a key don't depend on the store."""
    refused = (_build_probe(12.0, 503, 'open', ''),)
    core = (fleets.Span(8.0, 14.0),)
    assert _find_violated_checks(
        sent_probes=refused, core_disruptions=core
    ) == ['public']
    nodes = {_IP: (), _OTHER_IP: (fleets.Span(8.0, 9.0),)}
    assert not _find_violated_checks(
        sent_probes=refused, node_disruptions=nodes
    )
    boots = {_IP: (fleets.Span(0.0, 0.5), fleets.Span(1.0)), _OTHER_IP: ()}
    assert not _find_violated_checks(sent_probes=refused, boots=boots)


def test_a_store_that_is_not_read_again_is_found():
    """A return of the store that no node notices is a finding."""
    assert _find_violated_checks(unread_returns=(12.0,)) == ['read-again']
