"""Command line of ``jayseam-bench``."""

import argparse
import pathlib
import sys
from collections.abc import Sequence

from jayseam.bench import control
from jayseam.bench import experiments
from jayseam.bench import holdings
from jayseam.bench import latency
from jayseam.bench import neighbours
from jayseam.bench import overloads
from jayseam.bench import pages
from jayseam.bench import publication
from jayseam.bench import reports
from jayseam.bench import zonemoves
from jayseam.standins import processes

# The import of these modules registers their experiments.
EXPERIMENT_MODULES = (
    latency,
    publication,
    control,
    zonemoves,
    neighbours,
    overloads,
    holdings,
)
RESULTS_DIRECTORY = pathlib.Path('bench') / 'out'
JOURNAL_DIRECTORY = pathlib.Path('journal')
PAGE_PATH = RESULTS_DIRECTORY / 'report.html'


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns 1 if an experiment fails or misses a target."""
    names = experiments.registry.list_names()
    parser = argparse.ArgumentParser(
        prog='jayseam-bench',
        description='Measures deployments on loopback against their targets.',
    )
    parser.add_argument(
        '--only', nargs='+', metavar='NAME', choices=names, default=names
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--list', action='store_true', help='list experiments')
    parser.add_argument('--plot', action='store_true', help='write SVG files')
    commands = parser.add_subparsers(dest='command')
    report = commands.add_parser(
        'report', help='write an HTML page of the journal and the last results'
    )
    report.add_argument(
        '--journal', type=pathlib.Path, default=JOURNAL_DIRECTORY, metavar='DIR'
    )
    report.add_argument(
        '--out', type=pathlib.Path, default=PAGE_PATH, metavar='FILE'
    )
    options = parser.parse_args(arguments)
    if options.command == 'report':
        pages.write_page(options.journal, RESULTS_DIRECTORY, options.out)
        print(options.out)
        return 0
    if options.list:
        for name in names:
            experiment = experiments.registry.get(name)
            print(f'{name}: {(experiment.__doc__ or "").splitlines()[0]}')
        return 0
    processes.exit_on_sigterm()
    results = reports.run_experiments(
        options.only, options.seed, RESULTS_DIRECTORY, options.plot
    )
    missed = [result.name for result in results if not result.passed]
    print(f'missed: {", ".join(missed) or "none"}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
