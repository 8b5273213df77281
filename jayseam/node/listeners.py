"""The listeners of a node: callers, operators, and readiness."""

from typing import Any

import attrs

from jayseam.node import admin
from jayseam.node import callers


@attrs.frozen
class Listeners:
    """The HTTP servers of a node, started and ended together.

    Attributes:
      calls: Serves callers.
      control: Serves operators.
      readiness: Tells the platform whether the node is ready; None if nobody
        asks.
    """

    calls: callers.CallerServer
    control: admin.AdminServer
    readiness: admin.AdminServer | None = None

    def start(self) -> None:
        """Starts to listen; callers come last.

        Raises:
          OSError: If an address can't be bound.
        """
        self.control.start()
        if self.readiness is not None:
            self.readiness.start()
        self.calls.start()

    def stop_control(self) -> None:
        """Ends the listeners for operators and readiness."""
        self.control.stop(timeout=1)
        if self.readiness is not None:
            self.readiness.stop(timeout=0)


def build_listeners(
    settings: Any,
    application: Any,
    control: admin.AdminApplication,
    readiness: admin.ReadinessApplication,
) -> Listeners:
    """Returns the listeners that the settings of a node name.

    Args:
      settings: Settings of the node.
      application: Answers callers.
      control: Answers operators.
      readiness: Answers the platform.
    """
    asked = None
    if settings.ready is not None:
        asked = admin.AdminServer(
            settings.ready.as_tuple(), readiness, log=None
        )
    return Listeners(
        callers.CallerServer(settings.caller.as_tuple(), application, log=None),
        admin.AdminServer(settings.admin.as_tuple(), control, log=None),
        asked,
    )
