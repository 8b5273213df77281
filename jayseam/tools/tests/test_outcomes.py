"""Tests of the classification of calls."""

import json

import pytest

from jayseam.standins import answers
from jayseam.standins import exchanges
from jayseam.tools import outcomes
from jayseam.tools.tests import loads


def _build_response(status, document, content_type='application/problem+json'):
    body = json.dumps(document).encode()
    return exchanges.Answer(status, {'Content-Type': content_type}, body)


def test_refusals_are_classified():
    """Refusals have their problem code as outcome, malformed ones corrupt."""
    record = loads.build_record()
    problem = {'code': 'limit', 'ran': 'no', 'request_id': 'r1'}
    outcomes.classify_response(record, _build_response(429, problem), True)
    assert (record.outcome, record.ran, record.request_id) == (
        'limit',
        'no',
        'r1',
    )
    outcomes.classify_response(
        record, _build_response(429, {'code': 'limit'}), True
    )
    assert record.outcome == 'corrupt'
    outcomes.classify_response(
        record, _build_response(500, {}, 'text/plain'), True
    )
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
    """A response to another call is detected by its facts.

    Its body is complete, so that its checksum is right.
    """
    facts = {
        'echo': 'e1',
        'workspace': 'w1',
        'request_id': 'r1',
        'path': '/a',
        'method': 'GET',
        'idempotency_key': '',
    }
    body = answers.build_body({**facts, **change}, 10)
    record = loads.build_record()
    response = exchanges.Answer(200, {'Request-Id': 'r1'}, body)
    outcomes.classify_response(record, response, True)
    assert record.outcome == outcome
    response = exchanges.Answer(200, {'Request-Id': 'r1'}, body[:-1])
    outcomes.classify_response(record, response, True)
    assert record.outcome == 'corrupt'
