"""Tasks that own their state and receive messages through a mailbox."""

from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent import event
from gevent import queue

from jayseam.core import errors
from jayseam.core import logs

_log = logs.get_logger(__name__)


@attrs.frozen
class _Request:
    """A message whose sender waits for a reply."""

    message: Any
    reply: event.AsyncResult


class _Stop:
    """Ends the task after it has handled the messages already queued."""


class Task:
    """Runs one greenlet that handles messages one at a time.

    Subclasses register a handler for each message class with `handle`.

    >>> task = Task('echo')
    >>> task.handle(str, lambda text: text.upper())
    >>> task.start()
    >>> task.ask('hello', timeout_s=1.0)
    'HELLO'
    >>> task.stop()
    """

    def __init__(self, name: str):
        self.name = name
        self._mailbox: queue.Queue = queue.Queue()
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._greenlet: gevent.Greenlet | None = None
        self._stopped = False

    def handle(self, kind: type, function: Callable[[Any], Any]) -> None:
        """Registers the function that handles messages of class ``kind``."""
        self._handlers[kind] = function

    def start(self) -> None:
        """Starts the greenlet that handles messages."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the task after it has handled the messages in the mailbox."""
        if self._stopped:
            return
        self._stopped = True
        self._mailbox.put(_Stop())
        if self._greenlet is not None:
            self._greenlet.join(timeout_s)

    def send(self, message: Any) -> None:
        """Puts a message into the mailbox without waiting for a reply.

        Raises:
          TaskStoppedError: If the task has been stopped.
        """
        if self._stopped:
            raise errors.TaskStoppedError(f'task {self.name} has stopped')
        self._mailbox.put(message)

    def ask(self, message: Any, timeout_s: float) -> Any:
        """Sends a message and returns the handler's result.

        Raises:
          TaskStoppedError: If the task has been stopped.
          gevent.Timeout: If no reply comes within ``timeout_s`` seconds.
        """
        reply = event.AsyncResult()
        self.send(_Request(message, reply))
        return reply.get(timeout=timeout_s)

    def _run(self) -> None:
        while True:
            item = self._mailbox.get()
            if isinstance(item, _Stop):
                return
            self._dispatch(item)

    def _dispatch(self, item: Any) -> None:
        reply = item.reply if isinstance(item, _Request) else None
        message = item.message if isinstance(item, _Request) else item
        try:
            result = self._handlers[type(message)](message)
        except (Exception, gevent.Timeout) as error:  # pylint: disable=W0718
            # The task must go on with later messages if a handler fails.
            if reply is not None:
                reply.set_exception(error)
            else:
                _log.exception('task.handler_failed', extra={'task': self.name})
        else:
            if reply is not None:
                reply.set(result)
