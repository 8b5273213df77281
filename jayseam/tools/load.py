"""The program ``jayseam-load``: an open-loop load generator.

The program reads a load profile, sends its calls, and writes a report and the
records of all calls.

See Also:
  `jayseam.tools.profiles` for the input; `jayseam.tools.generators` for the
  measurement.
"""

import argparse
import json
import sys
from collections.abc import Sequence

from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools import profiles
from jayseam.tools import records


def _print_progress(report: loadreports.LoadReport, elapsed_s: float) -> None:
    counts = report.count_outcomes()
    text = ', '.join(f'{name} {count}' for name, count in counts.items())
    print(f'\r{elapsed_s:6.0f} s  {text}\033[K', end='', file=sys.stderr)
    sys.stderr.flush()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program.

    Returns:
      0 for success; 1 if a response was corrupt or belonged to another call;
      2 for an invalid profile.
    """
    options = _parse_arguments(arguments)
    try:
        profile = profiles.read_profile(options.profile)
    except profiles.ProfileError as error:
        for reason in error.reasons:
            print(f'{options.profile}: {reason}', file=sys.stderr)
        return 2
    is_terminal = sys.stderr.isatty()
    report = generators.run_load(
        profile, _print_progress if is_terminal else None
    )
    if is_terminal:
        print(file=sys.stderr)
    if options.records:
        records.write_records(report.records, options.records)
    text = json.dumps(report.to_dict())
    if options.json:
        with open(options.json, 'w', encoding='utf-8') as file:
            file.write(text + '\n')
    else:
        print(text)
    print(report.format_table())
    outcomes = report.count_outcomes()
    return int(any(name in outcomes for name in ('corrupt', 'foreign')))


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='jayseam-load',
        description='Sends calls on a fixed schedule and reports outcomes.',
    )
    parser.add_argument('profile', metavar='PROFILE', help='JSON profile')
    parser.add_argument(
        '--json', metavar='FILE', help='write the report to FILE'
    )
    parser.add_argument(
        '--records', metavar='FILE', help='write a record of each call to FILE'
    )
    return parser.parse_args(arguments)


if __name__ == '__main__':
    sys.exit(main())
