"""Nested calls that the backend stand-in makes through its node."""

from collections.abc import Mapping
from typing import Any

from jayseam.standins import answers
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import requests

_TIMEOUT_S = 10.0

LevelResult = Mapping[str, Any]


def call_nested(
    request: requests.Request, node: tuple[str, int]
) -> list[LevelResult] | None:
    """Makes the nested call that a request asks for in its headers.

    Args:
      request: The request, whose headers give the nesting depth and the path.
      node: Host and caller port of the node; port 0 means that there is none.

    Returns:
      None if no nested call is made, else a list with one entry for each
      nesting level, with the status, problem code and request id.
    """
    depth = int(request.numeric_header(answers.NEST_HEADER) or 0)
    if depth <= 0 or not node[1]:
        return None
    path = request.header(answers.NEST_PATH_HEADER, request.path)
    headers = _build_headers(request, depth, path)
    try:
        answer = exchanges.exchange_once(
            node, 'GET', path, headers, timeout_s=_TIMEOUT_S
        )
    except errors.ExchangeError as error:
        return [{'status': 0, 'error': str(error)}]
    return _describe_levels(answer)


def _build_headers(
    request: requests.Request, depth: int, path: str
) -> dict[str, str]:
    return {
        'Jayseam-Call-Token': request.header('Jayseam-Call-Token'),
        answers.NEST_HEADER: str(depth - 1),
        answers.NEST_PATH_HEADER: path,
        answers.NESTED_HEADER: '1',
        answers.ECHO_HEADER: request.header(answers.ECHO_HEADER),
    }


def _describe_levels(answer: exchanges.Answer) -> list[LevelResult]:
    """Returns the entries of an answer and of the levels nested below it."""
    entry = {
        'status': answer.status,
        'request_id': answer.headers.get('Request-Id', ''),
    }
    if answer.status != 200:
        return [{**entry, 'code': _read_problem_code(answer)}]
    try:
        metadata = answers.verify_body(answer.body)
    except errors.AnswerError as error:
        return [{**entry, 'error': str(error)}]
    return [entry, *metadata.get('nested', [])]


def _read_problem_code(answer: exchanges.Answer) -> str:
    try:
        return answer.decode().get('code', '')
    except (ValueError, AttributeError):
        return ''
