"""Problem documents, which callers receive if a call has no answer.

References:
  RFC 9457, "Problem Details for HTTP APIs".
"""

import json
import math

from jayseam.calls import errors
from jayseam.calls import requests

_CONTENT_TYPE = 'application/problem+json'


def render_problem(
    error: errors.CallError,
    request_id: str,
    idempotency_key: str | None = None,
    fractional: bool = False,
) -> requests.CallAnswer:
    """Returns the answer that reports ``error`` to the caller.

    >>> answer = render_problem(errors.LimitError('over', 0.2), 'r1')
    >>> answer.status, dict(answer.headers)['Retry-After']
    (429, '1')

    Args:
      error: Reason why there is no answer.
      request_id: Identifier of the call.
      idempotency_key: Key with which the caller may look up the outcome.
      fractional: Whether callers understand fractions of seconds in
        ``Retry-After``; RFC 9110 allows only whole seconds.
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
        headers.append(
            ('Retry-After', _format_delay(error.retry_after_s, fractional))
        )
    body = json.dumps(document).encode()
    return requests.CallAnswer(error.status, tuple(headers), body)


def _format_delay(delay_s: float, fractional: bool) -> str:
    """Returns the value of ``Retry-After``.

    >>> _format_delay(0.21, True), _format_delay(0.21, False)
    ('0.21', '1')
    """
    if fractional:
        return f'{max(0.0, delay_s):.3g}'
    # After rounding down, a retry would come before tokens are available.
    return str(max(1, math.ceil(delay_s)))
