"""Documents that the admin server shows to operators."""

import os
import sys
from collections.abc import Collection
from typing import Any

import attrs
import gevent

from jayseam import calls
from jayseam import distribution
from jayseam import membership
from jayseam import settings as node_settings
from jayseam.core import clocks
from jayseam.core import versionnumbers


def describe_machine() -> dict[str, Any]:
    """Returns what this process relies on in its machine."""
    try:
        system = os.uname()
        kernel = f'{system.sysname} {system.release} {system.machine}'
    except OSError as error:
        kernel = str(error)
    return {
        'kernel': kernel,
        'python': sys.version.split()[0],
        'event_loop': gevent.get_hub().loop.backend,
        'counts_suspension': clocks.counts_suspension(),
        'cores': os.cpu_count(),
    }


def describe_identity(
    settings: node_settings.model.NodeSettings, incarnation: int
) -> dict[str, Any]:
    """Returns the identity of a node."""
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
    """Returns the configuration in force, its age, and rejected versions."""
    snapshot = task.snapshot
    report = task.describe(now)
    preset = report['channels']['preset']
    zones = snapshot.preset.zones if snapshot.preset else {}
    return {
        'preset': snapshot.preset.name if snapshot.preset else None,
        'versions': {
            'preset': versionnumbers.shorten(snapshot.preset_version),
            'keys': versionnumbers.shorten(snapshot.keys_version),
            'vms': versionnumbers.shorten(snapshot.vms_version),
        },
        'confirmed_age_s': preset['confirmation_age_s'],
        'unconfirmed': preset['unconfirmed'],
        'rejected': preset['rejected'],
        'reader': report['reader'],
        'channels': report['channels'],
        'zones': {name: zone.in_service for name, zone in zones.items()},
    }


def describe_peers(
    view: membership.views.View, own_vm: str, connected: Collection[str]
) -> list[dict[str, Any]]:
    """Returns the other members, each with whether a link to it is open."""
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
    query: 'RouteQuery',
    now: float,
) -> dict[str, Any]:
    """Returns the route of a call and why each VM is or isn't chosen.

    Raises:
      CallError: If no route matches, or no preset is in force.
    """
    if snapshot.preset is None:
        raise calls.errors.NotRunError('no preset is in force')
    route = chooser.match_route(snapshot.preset, query.method, query.path)
    candidates = chooser.explain(snapshot.preset, view, route, now)
    return {
        'preset_version': versionnumbers.shorten(snapshot.preset_version),
        'workspace': query.workspace,
        'workspace_known': query.workspace in snapshot.preset.workspaces,
        'route': attrs.asdict(route),
        'candidates': [attrs.asdict(item) for item in candidates],
    }


@attrs.frozen
class RouteQuery:
    """A call for which an operator asks for the route."""

    workspace: str
    path: str
    method: str = 'GET'
