"""Command line of ``jayseam-node``."""

import argparse
import gc
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Any

import gevent

from jayseam import settings as node_settings
from jayseam.backends import dialects
from jayseam.core import clocks
from jayseam.core import crashes
from jayseam.core import logs
from jayseam.node import composition
from jayseam.settings import errors
from jayseam.settings import loading
from jayseam.source import client as source_client

_EXIT_USAGE = 2
_EXIT_BIND_FAILED = 3
_EXIT_START_FAILED = 4

_log = logs.get_logger('jayseam.node.main')


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='jayseam-node',
        description='Proxy and configuration distributor of one VM.',
    )
    parser.add_argument(
        '--settings', required=True, help='JSON file with the settings'
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code."""
    options = build_parser().parse_args(arguments)
    try:
        settings = loading.load_node_settings(options.settings)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return _EXIT_USAGE
    if options.check:
        return 0
    return run_node(
        settings,
        reload_settings=lambda: loading.load_node_settings(options.settings),
    )


def run_node(
    settings: node_settings.model.NodeSettings,
    log_stream: Any = None,
    source: source_client.Source | None = None,
    dialect: dialects.Dialect = dialects.DEFAULT,
    reload_settings: (
        Callable[[], node_settings.model.NodeSettings] | None
    ) = None,
) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code.

    Args:
      settings: Checked settings.
      log_stream: Stream for logs; standard error by default.
      source: Client of the configuration source; by default a client for the
        URLs in the settings.
      dialect: Names of the header fields of callers and backend servers.
      reload_settings: Reads the settings again, on SIGHUP; raises a
        `SettingsError` if they are invalid. If None, SIGHUP is ignored.

    Returns:
      0 after a planned stop, 3 if the start met an error of the system, such as
      an address in use, and 4 if it met any other error.
    """
    # Libraries write to standard error too, which may be a full pipe.
    sys.stderr = logs.NonBlockingStream(sys.stderr)
    stream = log_stream or sys.stderr
    logs.configure_logs(
        settings.log_level, stream, vm=settings.vm, zone=settings.zone
    )
    crashes.report_crashes()
    _report_fallbacks(stream)
    # Recording the parent of each greenlet takes time at each spawn, and
    # nothing reads it.
    gevent.config.track_greenlet_tree = False
    try:
        node = composition.Node(settings, source, dialect)
        # Modules and classes are nine tenths of all objects and live as long as
        # the process. Without the freeze, a full collection visits them and
        # stops calls for 40 ms.
        gc.collect()
        gc.freeze()
        _handle_signals(node, reload_settings)
        node.run()
    except OSError as error:
        _log.error('node.bind_failed', extra={'reason': str(error)})
        return _EXIT_BIND_FAILED
    except Exception as error:  # pylint: disable=broad-exception-caught
        # The traceback of an uncaught error is no line of the log.
        _log.exception(
            'node.start_failed',
            extra={'reason': f'{type(error).__name__}: {error}'},
        )
        return _EXIT_START_FAILED
    return 0


def _report_fallbacks(stream: Any) -> None:
    """Logs what the machine refuses to every part of the node."""
    if not clocks.counts_suspension():
        _log.warning('node.boot_time_refused')
    reason = getattr(stream, 'blocking_reason', None)
    if reason is not None:
        _log.warning('logs.blocking_output', extra={'reason': reason})


def _handle_signals(
    node: composition.Node,
    reload_settings: Callable[[], node_settings.model.NodeSettings] | None,
) -> None:
    """Has signals reload the settings and stop the node."""
    gevent.signal_handler(signal.SIGHUP, _reload, node, reload_settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, node.request_stop)
    # `jayseam.bootstrap` holds them back until they are handled.
    try:
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM)
        )
    except OSError as error:
        _log.warning('node.signal_mask_refused', extra={'reason': str(error)})


def _reload(
    node: composition.Node,
    reload_settings: Callable[[], node_settings.model.NodeSettings] | None,
) -> None:
    """Reads and applies the settings; an error changes nothing."""
    if reload_settings is None:
        return
    try:
        node.apply_settings(reload_settings())
    except errors.SettingsError as error:
        problems = list(error.problems)
        _log.error('node.reload_failed', extra={'problems': problems})
    except Exception as error:  # pylint: disable=broad-exception-caught
        problem = f'{type(error).__name__}: {error}'
        _log.exception('node.reload_failed', extra={'problems': [problem]})


if __name__ == '__main__':
    sys.exit(main())
