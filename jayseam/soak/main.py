"""Command line of ``jayseam-soak``."""

import argparse
import pathlib
import sys
from collections.abc import Sequence

from jayseam.soak import errors
from jayseam.soak import runs
from jayseam.standins import deployments
from jayseam.standins import processes

_LEAST_S = 10.0


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program.

    Returns:
      0 if all promises were kept, 1 if not, 2 for bad arguments or a cluster
      that doesn't start.
    """
    options = _build_parser().parse_args(arguments)
    processes.exit_on_sigterm()
    if options.minutes * 60.0 < _LEAST_S:
        print(f'--minutes: at least {_LEAST_S / 60.0:.2f}', file=sys.stderr)
        return 2
    broken = []
    for seed in range(options.seed, options.seed + options.seeds):
        plan = runs.Plan(
            seed,
            options.minutes * 60.0,
            options.deployment,
            options.vms,
            options.keep,
        )
        try:
            outcome = runs.run_soak(plan)
        except errors.SoakError as error:
            print(error, file=sys.stderr)
            return 2
        print(format_outcome(outcome, options.verbose), flush=True)
        if outcome.findings:
            broken.append(seed)
    print(f'{options.seeds} seeds, {len(broken)} with findings: {broken}')
    return 1 if broken else 0


def format_outcome(outcome: runs.Outcome, verbose: bool = False) -> str:
    """Returns the plain report of a run.

    Args:
      outcome: What came of the run.
      verbose: Whether to list all steps, also of a run without findings.
    """
    calls = ' '.join(f'{k}={n}' for k, n in sorted(outcome.outcomes.items()))
    lines = [
        f'seed {outcome.plan.seed}: {len(outcome.findings)} findings,'
        f' {len(outcome.schedule.steps)} steps, {outcome.strategy}; {calls}'
    ]
    lines += [f'  step failed: {reason}' for reason in outcome.failed_steps]
    lines += [f'  {found.check}: {found.detail}' for found in outcome.findings]
    if verbose or outcome.findings:
        lines += [
            f'  {step.at_s:6.2f} s {step.kind} for {step.for_s:.2f} s'
            f' {" ".join(step.targets)}'
            for step in outcome.schedule.steps
        ]
    return '\n'.join(lines)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='jayseam-soak',
        description='Runs real nodes under random faults and checks promises.',
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument(
        '--minutes', type=float, default=0.5, help='length of each run'
    )
    parser.add_argument(
        '--deployment', choices=sorted(deployments.BUILDERS), default='agence'
    )
    parser.add_argument(
        '--vms',
        type=int,
        default=0,
        help='size of a deployment made to measure',
    )
    parser.add_argument(
        '--keep',
        type=pathlib.Path,
        metavar='DIR',
        help='where logs of runs with findings are kept, a directory a seed',
    )
    parser.add_argument('--verbose', action='store_true', help='list all steps')
    return parser


if __name__ == '__main__':
    sys.exit(main())
