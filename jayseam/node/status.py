"""Documents that the admin listener shows to operators."""

from collections.abc import Collection
from typing import Any

import attrs

from jayseam import calls
from jayseam import distribution
from jayseam import membership
from jayseam import settings as node_settings


def describe_identity(
    settings: node_settings.model.NodeSettings, incarnation: int
) -> dict[str, Any]:
    """Returns who a node is."""
    return {
        'vm': settings.vm,
        'zone': settings.zone,
        'region': settings.region,
        'upstream': settings.upstream,
        'incarnation': incarnation,
    }


def describe_configuration(
    task: distribution.task.DistributionTask, now: float
) -> dict[str, Any]:
    """Returns what is in force, and how old the knowledge of it is."""
    snapshot = task.current
    known = task.describe(now)
    preset = known['channels']['preset']
    zones = snapshot.preset.zones if snapshot.preset else {}
    return {
        'preset': snapshot.preset.name if snapshot.preset else None,
        'versions': {
            'preset': snapshot.preset_version,
            'keys': snapshot.keys_version,
            'vms': snapshot.vms_version,
        },
        'confirmed_age_s': preset['confirmation_age_s'],
        'unconfirmed': preset['unconfirmed'],
        'rejected': preset['rejected'],
        'reader': known['reader'],
        'channels': known['channels'],
        'zones': {name: zone.in_service for name, zone in zones.items()},
    }


def describe_peers(
    view: membership.views.View, own_vm: str, connected: Collection[str]
) -> list[dict[str, Any]]:
    """Returns the other members, and whether a link to each is open."""
    return [
        {
            'vm': record.vm,
            'zone': record.zone,
            'state': record.state,
            'backend': record.backend,
            'link': record.vm in connected,
        }
        for record in view.members.values()
        if record.vm != own_vm
    ]


def explain_route(
    snapshot: distribution.states.Snapshot,
    view: membership.views.View,
    chooser: calls.choosers.Chooser,
    question: 'Question',
    now: float,
) -> dict[str, Any]:
    """Returns the route of a call and why each VM is or isn't chosen.

    Raises:
      CallError: If no route matches, or no preset is in force.
    """
    if snapshot.preset is None:
        raise calls.errors.NotRunError('no preset is in force')
    route = chooser.match_route(snapshot.preset, question.method, question.path)
    explained = chooser.explain(snapshot.preset, view, route, now)
    return {
        'preset_version': snapshot.preset_version,
        'workspace': question.workspace,
        'workspace_known': question.workspace in snapshot.preset.workspaces,
        'route': attrs.asdict(route),
        'candidates': [attrs.asdict(item) for item in explained],
    }


@attrs.frozen
class Question:
    """A call whose route an operator wants explained."""

    workspace: str
    path: str
    method: str = 'GET'
