"""The program ``jayseam-standin``: runs one stand-in until SIGTERM."""

import argparse
import json
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import cattrs
import gevent
from gevent import event

from jayseam.standins import backendhosts
from jayseam.standins import faults
from jayseam.standins import platform

_converter = cattrs.Converter(forbid_extra_keys=True)
# Settings class and stand-in class by kind.
_STANDINS: Mapping[str, tuple[type, Callable[[Any], Any]]] = {
    'platform': (platform.PlatformSettings, platform.Platform),
    'backend': (backendhosts.BackendHostSettings, backendhosts.BackendHost),
    'faults': (faults.ProxySettings, faults.FaultProxy),
}


def build_standin(kind: str, document: Any) -> Any:
    """Returns a stand-in without starting it.

    Args:
      kind: ``platform``, ``backend`` or ``faults``.
      document: Settings of the stand-in, decoded from JSON.

    Raises:
      cattrs.BaseValidationError: If the settings are invalid.
    """
    settings_class, standin_class = _STANDINS[kind]
    return standin_class(_converter.structure(document, settings_class))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns 0 after a signal and 2 for bad settings."""
    parser = argparse.ArgumentParser(
        prog='jayseam-standin', description='Runs one test stand-in.'
    )
    parser.add_argument('kind', choices=list(_STANDINS))
    parser.add_argument('--settings', required=True, metavar='FILE')
    options = parser.parse_args(arguments)
    try:
        with open(options.settings, encoding='utf-8') as file:
            standin = build_standin(options.kind, json.load(file))
    except (OSError, ValueError, cattrs.BaseValidationError) as error:
        for line in _format_error(error):
            print(f'{options.settings}: {line}', file=sys.stderr)
        return 2
    stop_requested = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    standin.start()
    print(json.dumps({'event': 'standin.ready', 'kind': options.kind}))
    sys.stdout.flush()
    stop_requested.wait()
    standin.stop()
    return 0


def _format_error(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(
            error, format_exception=lambda cause, _: str(cause)
        )
    return [str(error)]


if __name__ == '__main__':
    sys.exit(main())
