"""Log exceptions of event handlers."""

from __future__ import annotations

import logging

from circuits.core import BaseComponent
from circuits.core.handlers import handler

LOG = logging.getLogger(__name__)


class ExceptionLog(BaseComponent):
    """Log every exception that a handler of the loop raised.

    circuits prints them to standard error, past the log format, when no
    component handles them.
    """

    @handler('exception', channel='*')
    def _on_exception(self, kind, value, trace, handler=None, fevent=None):
        LOG.error(
            'loop: The handler of event %s failed.',
            getattr(fevent, 'name', 'unknown'),
            exc_info=(kind, value, value.__traceback__),
        )
