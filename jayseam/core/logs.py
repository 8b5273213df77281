"""Structured logs: one JSON object a line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logger

_ROOT = 'jayseam'


def configure_logs(
    level: str, stream: TextIO | None = None, **context: str
) -> None:
    """Sends the logs of jayseam to a stream as JSON lines.

    Args:
      level: A level name of the standard library, such as ``INFO``.
      stream: Where to write; standard error by default.
      **context: Fields added to every line, for example ``vm`` and ``zone``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
                'message': 'event',
            },
            static_fields=context,
        )
    )
    root = logging.getLogger(_ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def get_logger(name: str) -> logging.Logger:
    """Returns the logger of a module of jayseam.

    The message of each record is a stable event name; details go into
    ``extra``.
    """
    return logging.getLogger(name if name.startswith(_ROOT) else _ROOT)
