"""Command line of ``jayseam-soak``."""

import argparse
import pathlib
import sys
from collections.abc import Sequence

from jayseam.core import errors as core_errors
from jayseam.soak import errors
from jayseam.soak import runs
from jayseam.soak import storeruns as _  # Registers a platform.
from jayseam.standins import deployments
from jayseam.standins import machines
from jayseam.standins import processes

_MIN_DURATION_S = 10.0


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program.

    Returns:
      0 if no run has findings, 1 if one has, 2 for bad arguments or a cluster
      that doesn't start.
    """
    options = _build_parser().parse_args(arguments)
    processes.exit_on_sigterm()
    if options.minutes * 60.0 < _MIN_DURATION_S:
        print(
            f'--minutes must be at least {_MIN_DURATION_S / 60.0:.2f}',
            file=sys.stderr,
        )
        return 2
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        plan = runs.Plan(
            seed,
            options.minutes * 60.0,
            options.deployment,
            options.vms,
            options.keep,
            _split_names(options.kinds),
            _split_names(options.without),
            None if options.refused is None else _split_names(options.refused),
        )
        try:
            result = runs.registry.get(options.platform)(plan)
        except (errors.SoakError, core_errors.UnknownVariantError) as error:
            print(error, file=sys.stderr)
            return 2
        print(format_result(result, options.verbose), flush=True)
        if result.findings:
            failed.append(seed)
    print(f'{options.seeds} seeds, {len(failed)} with findings: {failed}')
    return 1 if failed else 0


def format_result(result: runs.SoakResult, verbose: bool = False) -> str:
    """Returns the report of a run as text.

    Args:
      result: The result of the run.
      verbose: Whether to list all steps even if the run has no findings.
    """
    calls = ' '.join(f'{k}={n}' for k, n in sorted(result.outcomes.items()))
    lines = [
        f'seed {result.plan.seed}: {len(result.findings)} findings,'
        f' {len(result.schedule.steps)} steps, {result.strategy}; {calls}'
    ]
    lines += [f'  step failed: {reason}' for reason in result.failed_steps]
    lines += [
        f'  {finding.check}: {finding.detail}' for finding in result.findings
    ]
    if verbose or result.findings:
        lines += [
            f'  {step.start_s:6.2f} s {step.kind} for {step.duration_s:.2f} s'
            f' {" ".join(step.targets)}'
            for step in result.schedule.steps
        ]
        lines += [f'  step {note}' for note in result.notes]
    return '\n'.join(lines)


def _split_names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(',') if name)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='jayseam-soak',
        description='Runs nodes under random faults and checks invariants.',
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument(
        '--minutes',
        type=float,
        default=0.5,
        help='duration of the load of each run',
    )
    parser.add_argument(
        '--platform',
        choices=runs.registry.list_names(),
        default='product',
        help="protocol of the platform: the product's own or that of the"
        " operators' store",
    )
    parser.add_argument(
        '--kinds',
        default='',
        metavar='A,B',
        help='kinds of steps to draw from, instead of all',
    )
    parser.add_argument(
        '--without',
        default='',
        metavar='A,B',
        help='kinds of steps to leave out',
    )
    parser.add_argument(
        '--refused',
        metavar='A,B',
        help='calls of the system that are refused to the nodes of the'
        " operators' platform and other differences of their machine, or ''"
        ' for none, instead of what the seed decides:'
        f' {", ".join(machines.list_names())}',
    )
    parser.add_argument(
        '--deployment',
        choices=sorted(deployments.DEPLOYMENT_BUILDERS),
        default='agence',
    )
    parser.add_argument(
        '--vms',
        type=int,
        default=0,
        help='generate a deployment with this number of VMs instead',
    )
    parser.add_argument(
        '--keep',
        type=pathlib.Path,
        metavar='DIR',
        help='copy logs of runs with findings to DIR/seed-N',
    )
    parser.add_argument('--verbose', action='store_true', help='list all steps')
    return parser


if __name__ == '__main__':
    sys.exit(main())
