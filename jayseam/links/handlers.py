"""Registry of the handlers of message classes."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen
class PeerInfo:
    """The authenticated node at the other end of a link.

    Attributes:
      vm: Name of its VM.
      incarnation: Start time of its process, in wall-clock milliseconds.
    """

    vm: str
    incarnation: int


Handler = Callable[[PeerInfo, Any], Any]


class HandlerRegistry:
    """Maps message classes to handler functions.

    A handler takes the peer and the message and returns the reply message or
    None. It runs in a greenlet of its own, so it may block.
    """

    def __init__(self) -> None:
        self._functions: dict[type, Handler] = {}

    def register(self, kind: type, function: Handler) -> None:
        """Sets the handler of messages of class ``kind``.

        Raises:
          ValueError: If the class already has a handler.
        """
        if kind in self._functions:
            raise ValueError(f'{kind.__name__} already has a handler')
        self._functions[kind] = function

    def find(self, kind: type) -> Handler | None:
        """Returns the handler of ``kind``, or None."""
        return self._functions.get(kind)
