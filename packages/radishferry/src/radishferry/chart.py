"""Run the state charts that are included in the package."""

from __future__ import annotations

import functools
import importlib.resources
import typing

from sismic import interpreter
from sismic import io


@functools.cache
def load(name):
    """Return a state chart.

    :param name: Name of a file in ``charts`` without its extension.
    :raises FileNotFoundError: There is no such chart.
    """
    files = importlib.resources.files('radishferry') / 'charts'
    text = (files / f'{name}.yaml').read_text(encoding='utf-8')
    return io.import_from_yaml(text)


class Chart:
    """Run one instance of a state chart."""

    def __init__(self, name):
        self._interpreter = interpreter.Interpreter(load(name))
        self._interpreter.execute()
        self._state = self._leaf_state()

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self._state

    def fire(self, event) -> bool:
        """Process an event.

        :param event: Name of the event.
        :returns: Whether the state changed.
        """
        before = self._state
        self._interpreter.queue(event)
        self._interpreter.execute()
        self._state = self._leaf_state()
        return self._state != before

    def _leaf_state(self):
        return self._interpreter.configuration[-1]


def transitions(name) -> typing.Iterator[tuple[str, str, str]]:
    """Yield state, event and target of each transition of a chart."""
    for transition in load(name).transitions:
        yield transition.source, transition.event, transition.target
