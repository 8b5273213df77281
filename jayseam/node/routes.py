"""Answers of a node to operators who ask how it routes a call."""

from collections.abc import Callable
from typing import Any

import attrs

from jayseam import backends
from jayseam import calls
from jayseam import distribution
from jayseam import membership
from jayseam.core import clocks
from jayseam.core import versionnumbers
from jayseam.node import status


@attrs.frozen
class CallQuery:
    """A call that an operator wants decided without sending it.

    Attributes:
      path: Path, with its query if there is one.
      method: HTTP method.
      host: Value of ``Host``; empty for the routes of all hosts.
      zone: Zone at which the call enters; empty for that of the node.
      workspace: Workspace of the call; empty if there is none.
    """

    path: str
    method: str = 'GET'
    host: str = ''
    zone: str = ''
    workspace: str = ''


class RouteExplainer:
    """Explains routes by the configuration and loads of a node.

    Args:
      read_snapshot: Returns the configuration in force.
      read_view: Returns the current view of the members.
      chooser: Chooser of the node.
      dialect: Header fields of callers.
    """

    def __init__(
        self,
        read_snapshot: Callable[[], distribution.states.Snapshot],
        read_view: Callable[[], membership.views.View],
        chooser: calls.choosers.Chooser,
        dialect: backends.dialects.Dialect = backends.dialects.DEFAULT,
    ):
        self._read_snapshot = read_snapshot
        self._read_view = read_view
        self._chooser = chooser
        self._dialect = dialect

    def explain(self, query: status.RouteQuery) -> dict[str, Any]:
        """Returns the route of a call and why each VM is or isn't chosen.

        Raises:
          CallError: If no route matches, or no preset is in force.
        """
        return status.explain_route(
            self._read_snapshot(),
            self._read_view(),
            self._chooser,
            query,
            clocks.read_now(),
        )

    def decide(self, query: CallQuery) -> dict[str, Any]:
        """Returns how a call would be routed now; nothing is sent.

        Raises:
          CallError: If no route matches, the zone is unknown, or no preset is
            in force.
        """
        snapshot = self._read_snapshot()
        if snapshot.preset is None:
            raise calls.errors.NotRunError('no preset is in force')
        path, _, parameters = query.path.partition('?')
        # Reads the host as that of a call.
        request = calls.requests.CallRequest(
            query.method, path, parameters, (('host', query.host),), b''
        )
        route = self._chooser.match_route(
            snapshot.preset, request.method, request.path, request.host
        )
        preview = calls.previews.preview(
            self._chooser,
            snapshot.preset,
            self._read_view(),
            route,
            clocks.read_now(),
            query.zone,
            query.workspace,
            self._dialect,
        )
        return {
            'preset_version': versionnumbers.shorten(snapshot.preset_version),
            'vms_version': versionnumbers.shorten(snapshot.vms_version),
            'route': attrs.asdict(route),
            **attrs.asdict(preview),
        }
