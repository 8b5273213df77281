"""Requests of the operator tool to the admin addresses of nodes."""

import json
import socket
from typing import Any

import geventhttpclient
from geventhttpclient import response

from jayseam.core import errors

EXIT_OK = 0
EXIT_NEGATIVE = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
# Error of a node of an older version for a resource that it doesn't have.
UNKNOWN_PATH = 'unknown path'
_TIMEOUT_S = 3.0


class ToolError(errors.JayseamError):
    """A command cannot be carried out.

    Attributes:
      code: Exit code of the program.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of an admin address.

    >>> parse_address('127.0.0.1:9000')
    ('127.0.0.1', 9000)
    >>> parse_address('[::1]:9000')
    ('::1', 9000)

    Raises:
      ToolError: If the address is malformed.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ToolError(EXIT_USAGE, f'{text}: expected host:port')
    return host.strip('[]'), int(port)


def fetch_json(address: str, path: str) -> Any:
    """Returns the JSON body of an admin resource.

    Raises:
      ToolError: If the node cannot be reached or its response is not JSON.
    """
    status, body = _fetch(address, path)
    if status != 200:
        raise ToolError(EXIT_UNREACHABLE, f'{address}: status {status}')
    return _decode(address, body)


def fetch_answer(address: str, path: str) -> Any:
    """Returns the JSON body of an admin resource that may refuse a question.

    Raises:
      ToolError: If the node cannot be reached, its response is not JSON, or it
        refuses with a reason, such as that no route matches.
    """
    status, body = _fetch(address, path)
    answer = _decode(address, body)
    if status == 200:
        return answer
    reason = answer.get('error') if isinstance(answer, dict) else None
    if reason is None or reason == UNKNOWN_PATH:
        raise ToolError(EXIT_UNREACHABLE, f'{address}: status {status}')
    code = answer.get('code', status)
    raise ToolError(EXIT_NEGATIVE, f'{address}: {reason} ({code})')


def _decode(address: str, body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise ToolError(
            EXIT_UNREACHABLE, f'{address}: no JSON answer'
        ) from error


def _fetch(address: str, path: str) -> tuple[int, bytes]:
    """Returns the status and body of an admin resource.

    Raises:
      ToolError: If the node cannot be reached.
    """
    host, port = parse_address(address)
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=_TIMEOUT_S, network_timeout=_TIMEOUT_S
    )
    try:
        answer = client.get(path)
        return answer.status_code, answer.read()
    except (OSError, socket.timeout, response.HTTPParseError) as error:
        raise ToolError(EXIT_UNREACHABLE, f'{address}: {error}') from error
    finally:
        client.close()
