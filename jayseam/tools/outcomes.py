"""Outcomes of calls, from their answers or the lack of one."""

from collections.abc import Mapping
from typing import Any

from jayseam.standins import answers
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.tools import records


def classify_answer(
    record: records.CallRecord, answer: exchanges.Answer, check: bool
) -> None:
    """Sets the outcome of a call from its answer.

    Args:
      record: The call.
      answer: Its whole HTTP answer.
      check: Whether the body of a success comes from a backend stand-in.
    """
    record.status = answer.status
    record.request_id = answer.headers.get('Request-Id', '')
    if 200 <= answer.status < 300:
        record.outcome, record.ran = 'ok', 'yes'
        if check:
            _check_body(record, answer.body)
        return
    record.outcome, record.ran = f'status-{answer.status}', 'unknown'
    if 'problem+json' in answer.headers.get('Content-Type', ''):
        _read_problem(record, answer)


def _read_problem(record: records.CallRecord, answer: exchanges.Answer) -> None:
    """Sets the outcome of a refused call from its problem document."""
    try:
        problem = answer.decode()
        record.code = problem['code']
        record.ran = problem['ran']
        record.request_id = problem.get('request_id') or record.request_id
    except (ValueError, KeyError, TypeError):
        record.outcome = 'corrupt'
    else:
        record.outcome = record.code


def _check_body(record: records.CallRecord, body: bytes) -> None:
    try:
        facts = answers.verify_answer(body)
    except (errors.AnswerError, ValueError):
        record.outcome = 'corrupt'
        return
    if not _is_own(record, facts):
        record.outcome = 'foreign'
    nested = facts.get('nested', [])
    record.nested_failures = sum(e.get('status') != 200 for e in nested)


def _is_own(record: records.CallRecord, facts: Mapping[str, Any]) -> bool:
    """Tells whether the facts of an answer are those of the call."""
    expected = {
        'echo': record.echo,
        'method': record.method,
        'path': record.path.partition('?')[0],
        'idempotency_key': record.idempotency_key,
    }
    if not record.idempotency_key:
        # A repeated call may get the stored answer of the first attempt.
        expected['request_id'] = record.request_id
    # Routes that are open to all run for no workspace.
    return facts.get('workspace') in (record.workspace, '') and all(
        facts.get(name) == value for name, value in expected.items()
    )


def classify_failure(
    record: records.CallRecord, error: errors.ExchangeError
) -> None:
    """Sets the outcome of a call that got no whole answer."""
    if not error.sent:
        record.outcome, record.ran = 'unreachable', 'no'
        return
    record.ran = 'unknown'
    record.outcome = 'timeout' if str(error) == 'timeout' else 'lost'
