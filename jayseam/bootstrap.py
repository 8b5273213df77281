"""Runs the node on the operators' platform with its signals held back.

The default action of SIGHUP and SIGTERM ends a process without a word, and the
imports of a node take most of a second. Blocked signals stay pending until the
node handles them. The cyclic garbage collector rests during the imports, which
make hardly any garbage and many objects that it would visit again and again.
"""

import gc
import importlib
import signal
import sys

_MAIN_MODULE = 'jayseam.platform.main'


def main() -> int:
    """Runs the node; returns its exit code."""
    try:
        signal.pthread_sigmask(
            signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM)
        )
    except OSError as error:
        # The log is set up later, by what is imported here.
        print(f'signals during the start end it: {error}', file=sys.stderr)
    gc.disable()
    try:
        module = importlib.import_module(_MAIN_MODULE)
    finally:
        gc.enable()
    return module.main()


if __name__ == '__main__':
    sys.exit(main())
