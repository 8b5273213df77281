"""A small interpreter of the state charts in ``charts/*.json``.

A chart file holds the initial state and, for each state, a mapping from event
to next state. A state without events is final.
"""

import importlib.resources
import json
from collections.abc import Mapping

import attrs

from jayseam.core import errors


@attrs.frozen
class Chart:
    """A finite state machine read from a file.

    Attributes:
      name: Name of the chart, without the file's suffix.
      initial: State in which an instance starts.
      transitions: Next state by state and event.
    """

    name: str
    initial: str
    transitions: Mapping[str, Mapping[str, str]]

    def advance(self, state: str, event: str) -> str:
        """Returns the state that follows ``state`` on ``event``.

        >>> load_chart('node').advance('serving', 'stop_requested')
        'leaving'

        Raises:
          InvalidTransitionError: If the state has no such event.
        """
        events = self.transitions.get(state, {})
        if event not in events:
            raise errors.InvalidTransitionError(
                f'chart {self.name}: no event {event!r} in state {state!r}'
            )
        return events[event]

    def allows(self, state: str, event: str) -> bool:
        """Returns whether ``event`` has a transition in ``state``."""
        return event in self.transitions.get(state, {})


def load_chart(name: str) -> Chart:
    """Reads and checks the chart ``charts/<name>.json``.

    Raises:
      InvalidTransitionError: If a transition leads to an undefined state.
    """
    resource = importlib.resources.files('jayseam.core') / 'charts'
    text = (resource / f'{name}.json').read_text(encoding='utf-8')
    document = json.loads(text)
    transitions = document['states']
    targets = {t for events in transitions.values() for t in events.values()}
    unknown = (targets | {document['initial']}) - set(transitions)
    if unknown:
        raise errors.InvalidTransitionError(
            f'chart {name}: undefined states {sorted(unknown)}'
        )
    return Chart(name, document['initial'], transitions)
