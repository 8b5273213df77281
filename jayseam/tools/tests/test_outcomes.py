"""Tests of the outcomes of calls."""

import json

import pytest

from jayseam.standins import answers
from jayseam.standins import exchanges
from jayseam.tools import outcomes
from jayseam.tools.tests import loads


def _answer(status, document, kind='application/problem+json'):
    body = json.dumps(document).encode()
    return exchanges.Answer(status, {'Content-Type': kind}, body)


def test_refusals_are_classified():
    """Refusals count by their code, and malformed ones as corrupt."""
    record = loads.build_record()
    problem = {'code': 'limit', 'ran': 'no', 'request_id': 'r1'}
    outcomes.classify_answer(record, _answer(429, problem), True)
    assert (record.outcome, record.ran, record.request_id) == (
        'limit',
        'no',
        'r1',
    )
    outcomes.classify_answer(record, _answer(429, {'code': 'limit'}), True)
    assert record.outcome == 'corrupt'
    outcomes.classify_answer(record, _answer(500, {}, 'text/plain'), True)
    assert record.outcome == 'status-500'


@pytest.mark.parametrize(
    'change, outcome',
    [
        ({}, 'ok'),
        ({'echo': 'e2'}, 'foreign'),
        ({'workspace': 'w2'}, 'foreign'),
        ({'request_id': 'r2'}, 'foreign'),
        ({'path': '/c'}, 'foreign'),
    ],
)
def test_answers_of_others_are_foreign(change, outcome):
    """A crossed answer is whole, so only its facts give it away."""
    facts = {
        'echo': 'e1',
        'workspace': 'w1',
        'request_id': 'r1',
        'path': '/a',
        'method': 'GET',
        'idempotency_key': '',
    }
    body = answers.build_answer({**facts, **change}, 10)
    record = loads.build_record()
    answer = exchanges.Answer(200, {'Request-Id': 'r1'}, body)
    outcomes.classify_answer(record, answer, True)
    assert record.outcome == outcome
    answer = exchanges.Answer(200, {'Request-Id': 'r1'}, body[:-1])
    outcomes.classify_answer(record, answer, True)
    assert record.outcome == 'corrupt'
