"""Backend servers whose service time and answer size a request asks for."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent

from jayseam.standins import platformbackend
from jayseam.standins import serving

_WORK_FIELD = 'work_ms'
_SIZE_FIELD = 'size_bytes'


def format_query(work_s: float, size_bytes: int) -> str:
    """Returns the query of a request.

    >>> format_query(0.25, 100)
    'work_ms=250&size_bytes=100'

    Args:
      work_s: Service time of the request in seconds.
      size_bytes: Size of the answer.
    """
    return f'{_WORK_FIELD}={work_s * 1000:.0f}&{_SIZE_FIELD}={size_bytes}'


@attrs.define
class WorkingBackend(platformbackend.Backend):
    """A backend server that works on a request as long as its query says.

    It ends with status 504 at the deadline that the node sent.
    """

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        query = serving.parse_query(environ)
        if _WORK_FIELD not in query:
            return super().__call__(environ, start_response)
        started: list[tuple[str, list[tuple[str, str]]]] = []
        body = super().__call__(
            environ, lambda status, headers: started.append((status, headers))
        )
        status, headers = started[0]
        if not status.startswith('200'):
            start_response(status, headers)
            return body
        work_s = float(query[_WORK_FIELD]) / 1000
        deadline_s = float(environ['HTTP_JAYSEAM_DEADLINE_MS']) / 1000
        gevent.sleep(min(work_s, deadline_s))
        # The length and the type are those of another body.
        kept = [(n, v) for n, v in headers if n.startswith('Jayseam-')]
        if work_s > deadline_s:
            return serving.send_answer(start_response, 504, headers=kept)
        filler = b'x' * int(query[_SIZE_FIELD])
        return serving.send_answer(start_response, 200, filler, kept)
