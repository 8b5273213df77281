"""Tests of load profiles."""

import pytest

from jayseam.tools import profiles


def test_all_errors_of_a_profile_are_listed():
    """An operator must see all validation errors of a profile at once."""
    document = {
        'targets': ['nowhere'],
        'duration_s': 0,
        'workspaces': [{'name': 'w1', 'rate_per_s': 1, 'routes': [{}]}],
    }
    with pytest.raises(profiles.ProfileError) as caught:
        profiles.parse_profile(document)
    paths = [reason.partition(':')[0] for reason in caught.value.reasons]
    assert paths == [
        '$.duration_s',
        '$.targets[0]',
        '$.workspaces[0].routes[0]',
    ]
