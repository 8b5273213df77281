"""The lifecycle cycle of a node, by the state chart ``node``."""

from jayseam.core import logs
from jayseam.core import statecharts

_log = logs.get_logger(__name__)


class Lifecycle:
    """Holds the state of a node and logs each transition.

    >>> lifecycle = Lifecycle()
    >>> lifecycle.try_advance('configured'), lifecycle.state
    (True, 'serving')
    >>> lifecycle.try_advance('configured'), lifecycle.state
    (False, 'serving')
    """

    def __init__(self):
        self._chart = statecharts.load_chart('node')
        self.state = self._chart.initial

    def try_advance(self, event: str) -> bool:
        """Applies an event if the state allows it; returns whether it did."""
        if not self._chart.allows(self.state, event):
            return False
        before, self.state = self.state, self._chart.advance(self.state, event)
        _log.info(
            'node.state_changed', extra={'before': before, 'after': self.state}
        )
        return True
