"""The HTTP servers of a node: for callers, operators and readiness."""

from typing import Any

import attrs

from jayseam.core import descriptors
from jayseam.core import memory
from jayseam.node import admin
from jayseam.node import callers


@attrs.frozen
class Listeners:
    """The HTTP servers of a node.

    Attributes:
      caller_server: Serves callers.
      admin_server: Serves operators.
      readiness_server: Tells the platform whether the node is ready; None if
        the settings name no address for it.
    """

    caller_server: callers.CallerServer
    admin_server: admin.AdminServer
    readiness_server: admin.AdminServer | None = None

    def start(self) -> None:
        """Starts all servers; the server for callers starts last.

        Raises:
          OSError: If an address can't be bound.
        """
        self.admin_server.start()
        if self.readiness_server is not None:
            self.readiness_server.start()
        self.caller_server.start()

    def stop_admin(self) -> None:
        """Stops the servers for operators and readiness."""
        self.admin_server.stop(timeout=1)
        if self.readiness_server is not None:
            self.readiness_server.stop(timeout=0)


def build_listeners(
    settings: Any,
    caller_application: Any,
    admin_application: admin.AdminApplication,
    readiness_application: admin.ReadinessApplication,
    budget: memory.ByteBudget | None = None,
) -> Listeners:
    """Returns the servers for the addresses in the settings of a node.

    Args:
      settings: Settings of the node.
      caller_application: Answers callers.
      admin_application: Answers operators.
      readiness_application: Answers the platform.
      budget: Bytes of all messages in progress; by default one of its own.
    """
    limits = descriptors.compute_limits(
        descriptors.read_descriptor_limit(),
        settings.connections.max_callers,
        settings.connections.reserved,
    )
    bounds = {
        'budget': memory.ByteBudget() if budget is None else budget,
        'max_head_bytes': settings.memory.head_bytes,
    }
    readiness_server = None
    if settings.ready is not None:
        readiness_server = admin.AdminServer(
            settings.ready.as_tuple(),
            readiness_application,
            log=None,
            environ=_name_server(settings.ready),
            listener_name='ready',
            max_connections=limits.operators,
            **bounds,
        )
    return Listeners(
        callers.CallerServer(
            settings.caller.as_tuple(),
            caller_application,
            log=None,
            environ=_name_server(settings.caller),
            max_connections=limits.callers,
            **bounds,
        ),
        admin.AdminServer(
            settings.admin.as_tuple(),
            admin_application,
            log=None,
            environ=_name_server(settings.admin),
            max_connections=limits.operators,
            **bounds,
        ),
        readiness_server,
    )


def _name_server(address: Any) -> dict[str, str]:
    """Returns the WSGI name of a server.

    Without it, the server asks the name service for the name of its address
    before it listens, which can take longer than the platform waits.
    """
    return {'SERVER_NAME': address.host}
