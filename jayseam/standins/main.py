"""The program ``jayseam-standin``: runs one stand-in until it is ended."""

import argparse
import json
import signal
import sys
from collections.abc import Sequence
from typing import Any

import attrs
import cattrs
import gevent
from gevent import event

from jayseam.standins import backend
from jayseam.standins import faults
from jayseam.standins import platform

_converter = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class BackendHostSettings:
    """Settings of ``jayseam-standin backend``.

    Attributes:
      backends: The backend servers.
      host: Address of the control listener.
      control_port: Port of the control listener.
    """

    backends: list[backend.BackendSettings]
    host: str = '127.0.0.1'
    control_port: int = 0


def build_standin(kind: str, document: Any) -> Any:
    """Returns a stand-in that is not yet started.

    Args:
      kind: ``platform``, ``backend`` or ``faults``.
      document: Its decoded JSON settings.

    Raises:
      cattrs.BaseValidationError: If the settings are invalid.
    """
    if kind == 'platform':
        return platform.Platform(
            _converter.structure(document, platform.PlatformSettings)
        )
    if kind == 'faults':
        return faults.FaultProxy(
            _converter.structure(document, faults.ProxySettings)
        )
    settings = _converter.structure(document, BackendHostSettings)
    control = (settings.host, settings.control_port)
    return backend.BackendHost(settings.backends, control)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns 0 after SIGTERM and 2 for bad settings."""
    parser = argparse.ArgumentParser(
        prog='jayseam-standin', description='Runs one test stand-in.'
    )
    parser.add_argument('kind', choices=['platform', 'backend', 'faults'])
    parser.add_argument('--settings', required=True, metavar='FILE')
    options = parser.parse_args(arguments)
    try:
        with open(options.settings, encoding='utf-8') as file:
            standin = build_standin(options.kind, json.load(file))
    except (OSError, ValueError, cattrs.BaseValidationError) as error:
        for line in _describe(error):
            print(f'{options.settings}: {line}', file=sys.stderr)
        return 2
    ended = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    standin.start()
    print(json.dumps({'event': 'standin.ready', 'kind': options.kind}))
    sys.stdout.flush()
    ended.wait()
    standin.stop()
    return 0


def _describe(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(
            error, format_exception=lambda cause, _: str(cause)
        )
    return [str(error)]


if __name__ == '__main__':
    sys.exit(main())
