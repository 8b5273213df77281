"""Tests of the schedules of calls."""

import random

from jayseam.tools import schedules
from jayseam.tools.tests import loads


def test_schedule_is_the_same_for_a_seed(host):
    """A failed run must be reproducible from its seed."""
    profile = loads.build_profile(
        host, [{'path': '/a'}, {'path': '/c', 'share': 2}]
    )
    first, second = (
        [
            (call.offset_s, call.record.path)
            for call in schedules.Schedule(
                profile.workspaces[0], profile, random.Random(5), 'p', 0
            ).generate_calls()
        ]
        for _ in range(2)
    )
    assert first == second and len(first) > 20
