"""Configure logging."""

from __future__ import annotations

import logging
import sys

import structlog

# Fields of every log line, in this order; others follow sorted by name.
_KEY_ORDER = ('timestamp', 'level', 'logger', 'event')


def configure(level, log_format, stream=None):
    """Write the records of all loggers to a stream.

    Modules log with ``logging.getLogger(__name__)`` and begin each message
    with the fixed prefix of their part, such as ``net:``. Fields passed in
    ``extra`` become fields of the log line.

    :param level: One of :data:`radishferryd.settings.LOG_LEVELS`.
    :param log_format: One of :data:`radishferryd.settings.LOG_FORMATS`.
    :param stream: Output stream, by default standard error; if it has a
        method ``admits(record)``, that method filters the records.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_formatter(log_format))
    if hasattr(stream, 'admits'):
        handler.addFilter(stream.admits)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # No part of the process uses asyncio, so its debug lines are only noise.
    logging.getLogger('asyncio').setLevel(logging.WARNING)


def _formatter(log_format):
    if log_format == 'json':
        renderer = structlog.processors.JSONRenderer(ensure_ascii=True)
    else:
        renderer = structlog.processors.KeyValueRenderer(
            key_order=_KEY_ORDER, sort_keys=True, repr_native_str=True
        )
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.stdlib.ExtraAdder(),
            structlog.processors.TimeStamper(fmt='iso', utc=True),
        ],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            renderer,
        ],
    )
