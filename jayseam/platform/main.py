"""Command line of a node on the operators' platform."""

import argparse
import os
import sys
from collections.abc import Sequence

from jayseam import settings as node_settings
from jayseam.core import logs
from jayseam.node import main as node_main
from jayseam.platform import dialect
from jayseam.platform import settings as platform_settings
from jayseam.platform import source
from jayseam.platform import store

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'JAYSEAM_SETTINGS'
_USAGE_EXIT = 2


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='jayseam-platform-node',
        description="Node of one VM on the operators' platform.",
    )
    parser.add_argument(
        '--settings',
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f'settings file; by default that of {SETTINGS_VARIABLE}',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code."""
    options = build_parser().parse_args(arguments)
    if not options.settings:
        print(
            f'no settings file: pass --settings or set {SETTINGS_VARIABLE}',
            file=sys.stderr,
        )
        return _USAGE_EXIT
    try:
        loaded = platform_settings.load_settings(options.settings)
    except node_settings.errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return _USAGE_EXIT
    if options.check:
        return 0
    client = store.StoreClient(loaded.store_address)
    return node_main.run_node(
        loaded.node,
        logs.NonBlockingStream(sys.stdout),
        source.StoreSource(
            client,
            loaded.deployment_facts,
            platform_settings.RESTORE_HOLD_S,
            loaded.node.source.lapse_s,
        ),
        dialect.DIALECT,
        lambda: platform_settings.load_settings(options.settings).node,
    )


if __name__ == '__main__':
    sys.exit(main())
