"""Problem documents: what a caller receives in place of a result.

References:
  RFC 9457, "Problem Details for HTTP APIs".
"""

import json
import math

from jayseam.calls import errors
from jayseam.calls import requests

_CONTENT_TYPE = 'application/problem+json'


def render_problem(
    error: errors.CallError, request_id: str, idempotency_key: str | None = None
) -> requests.CallAnswer:
    """Returns the answer that reports ``error`` to the caller.

    >>> answer = render_problem(errors.LimitError('over', 0.2), 'r1')
    >>> answer.status, dict(answer.headers)['Retry-After']
    (429, '1')
    """
    document = {
        'type': f'urn:jayseam:problem:{error.code}',
        'title': type(error).__doc__.partition('\n')[0],
        'status': error.status,
        'detail': error.detail,
        'code': error.code,
        'ran': error.ran,
        'request_id': request_id,
    }
    if error.ran == 'unknown' and idempotency_key:
        document['ask'] = f'/.jayseam/outcomes/{idempotency_key}'
    headers = [('Content-Type', _CONTENT_TYPE)]
    if error.retry_after_s is not None:
        # Retry-After carries whole seconds; rounding down would invite a
        # retry before tokens are there.
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    body = json.dumps(document).encode()
    return requests.CallAnswer(error.status, tuple(headers), body)
