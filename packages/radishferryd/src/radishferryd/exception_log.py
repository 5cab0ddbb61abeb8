"""Log exceptions raised by event handlers."""

from __future__ import annotations

import logging

from circuits.core import BaseComponent
from circuits.core.handlers import handler

LOG = logging.getLogger(__name__)


class ExceptionLog(BaseComponent):
    """Log every exception raised by an event handler.

    Without such a component, circuits prints them to standard error and
    ignores the configured log format.
    """

    @handler('exception', channel='*')
    def _on_exception(self, kind, value, trace, handler=None, fevent=None):
        LOG.error(
            'loop: The handler of event %s failed.',
            getattr(fevent, 'name', 'unknown'),
            exc_info=(kind, value, value.__traceback__),
        )
