"""Cancellations that are posted to the backend server."""

from collections.abc import Callable
from urllib import parse

import gevent
from gevent import lock

from jayseam.backends import errors
from jayseam.backends import messages
from jayseam.core import logs

CANCEL_TIMEOUT_S = 1.0
MAX_CONCURRENT_CANCELS = 8
MAX_PENDING_CANCELS = 128

_log = logs.get_logger(__name__)


class Cancellations:
    """Posts cancellations, each in a greenlet of its own.

    Args:
      cancel_path: Path to which the id of a call is appended; empty if the
        backend server takes no cancellations.
      send: Sends a request; takes it and its timeout in seconds.
    """

    def __init__(
        self,
        cancel_path: str,
        send: Callable[[messages.BackendRequest, float], None],
    ):
        self._cancel_path = cancel_path
        self._send = send
        self._slots = lock.Semaphore(MAX_CONCURRENT_CANCELS)
        self._n_pending = 0
        self._greenlets: dict[str, gevent.Greenlet] = {}

    def find(self, request_id: str) -> gevent.Greenlet | None:
        """Returns the greenlet that cancels a call, or None."""
        return self._greenlets.get(request_id)

    def schedule(self, request_id: str) -> None:
        """Begins to cancel a call, unless too many cancellations wait."""
        if not self._cancel_path:
            return
        if self._n_pending >= MAX_PENDING_CANCELS:
            _log.warning(
                'backend.cancel_dropped', extra={'request': request_id}
            )
            return
        self._n_pending += 1
        self._greenlets[request_id] = gevent.spawn(self._post, request_id)

    def _post(self, request_id: str) -> None:
        """Asks the backend server to stop a call and ignores the answer."""
        path = self._cancel_path + parse.quote(request_id, safe='')
        request = messages.BackendRequest(request_id, 'POST', path)
        try:
            with self._slots:
                self._send(request, CANCEL_TIMEOUT_S)
        except errors.BackendError as error:
            _log.info(
                'backend.cancel_failed',
                extra={'request': request_id, 'error': str(error)},
            )
        finally:
            self._n_pending -= 1
            del self._greenlets[request_id]
