"""Classification of calls by their response, or by the lack of one."""

from collections.abc import Mapping
from typing import Any

from jayseam.standins import answers
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.tools import records


def classify_response(
    record: records.CallRecord, response: exchanges.Answer, check: bool
) -> None:
    """Sets the outcome of a call that got a complete HTTP response.

    Args:
      record: The record of the call, which is changed.
      response: The response.
      check: Whether to check the body of a success, which must come from a
        backend stand-in.
    """
    record.status = response.status
    record.request_id = response.headers.get('Request-Id', '')
    if 200 <= response.status < 300:
        record.outcome, record.ran = 'ok', 'yes'
        if check:
            _check_body(record, response.body)
        return
    record.outcome, record.ran = f'status-{response.status}', 'unknown'
    if 'problem+json' in response.headers.get('Content-Type', ''):
        _read_problem(record, response)


def _read_problem(
    record: records.CallRecord, response: exchanges.Answer
) -> None:
    """Sets the outcome of a call from a problem document (RFC 9457)."""
    try:
        problem = response.decode()
        record.code = problem['code']
        record.ran = problem['ran']
        record.request_id = problem.get('request_id') or record.request_id
    except (ValueError, KeyError, TypeError):
        record.outcome = 'corrupt'
    else:
        record.outcome = record.code


def _check_body(record: records.CallRecord, body: bytes) -> None:
    """Changes the outcome if a body is corrupt or answers another call."""
    try:
        facts = answers.verify_body(body)
    except (errors.AnswerError, ValueError):
        record.outcome = 'corrupt'
        return
    if not _matches_call(record, facts):
        record.outcome = 'foreign'
    nested = facts.get('nested', [])
    record.nested_failures = sum(e.get('status') != 200 for e in nested)


def _matches_call(record: records.CallRecord, facts: Mapping[str, Any]) -> bool:
    """Returns whether the facts in a response body match the call."""
    expected = {
        'echo': record.echo,
        'method': record.method,
        'path': record.path.partition('?')[0],
        'idempotency_key': record.idempotency_key,
    }
    if not record.idempotency_key:
        # With an idempotency key, a repeat may get the stored response of the
        # first attempt, which has another request id.
        expected['request_id'] = record.request_id
    # Calls on routes that are open to all run without a workspace.
    return facts.get('workspace') in (record.workspace, '') and all(
        facts.get(name) == value for name, value in expected.items()
    )


def classify_failure(
    record: records.CallRecord, error: errors.ExchangeError
) -> None:
    """Sets the outcome of a call that got no complete response."""
    if not error.sent:
        record.outcome, record.ran = 'unreachable', 'no'
        return
    record.ran = 'unknown'
    record.outcome = 'timeout' if str(error) == 'timeout' else 'lost'
