"""Tests of the members that share the enforcement of the limits."""

import pytest

from jayseam import membership
from jayseam.node import limitmembers


def _build_view(states):
    records = [
        membership.records.MemberRecord(
            vm=f'vm{number}',
            upstream=f'u{number}',
            service='s',
            zone='a',
            region='r',
            host='127.0.0.1',
            port=8000,
            incarnation=incarnation,
            sequence=1,
            state=state,
            backend='ready',
        )
        for number, (state, incarnation) in enumerate(states)
    ]
    return membership.views.create_view(records, now=0.0)


@pytest.mark.parametrize(
    'strategy, expected',
    [('replicated', {'vm0', 'vm1', 'vm2'}), ('escrow', {'vm0', 'vm1'})],
)
def test_lists_members_by_strategy(strategy, expected):
    """A listed VM without a process of its own can't spend anything."""
    view = _build_view(
        [
            ('alive', 1),
            ('suspect', 1),
            ('leaving', 1),
            ('dead', 1),
            ('alive', 0),
        ]
    )
    members = limitmembers.LimitingMembers(strategy)
    assert {record.vm for record in members.list_in(view)} == expected


def test_list_is_made_again_for_another_view_only():
    """The limits take the same tuple for the same members."""
    members = limitmembers.LimitingMembers('replicated')
    view = _build_view([('alive', 1)])
    listed = members.list_in(view)
    assert members.list_in(view) is listed
    assert len(members.list_in(_build_view([('alive', 1)] * 2))) == 2
