"""Steps for the limited log output."""

from __future__ import annotations

import logging
import os

import behave

from radishferryd.router import log_output


@behave.fixture
def pipe(context):
    """Open a pipe and a logger that writes to it."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.now = 100.0
    context.stream = log_output.BoundedStream(writer, lambda: context.now)
    handler = logging.StreamHandler(context.stream)
    handler.addFilter(context.stream.admits)
    context.log = logging.Logger('test')
    context.log.addHandler(handler)
    yield reader
    os.close(reader)
    os.close(writer)


def _read(context):
    data = b''
    while True:
        try:
            part = os.read(context.reader, 65536)
        except BlockingIOError:
            return data.decode()
        data += part


@behave.given('a log to a pipe that nobody reads')
@behave.given('a log to a pipe')
def open_pipe(context):
    context.reader = behave.use_fixture(pipe, context)
    context.read = ''


@behave.when('{count:d} warnings of {size:d} bytes are logged')
def warn(context, count, size):
    for _ in range(count):
        context.log.warning('x' * size)


def _log(context, count, text, **extra):
    for number in range(count):
        context.now += 1 / count
        context.log.info('%s %d', text, number, extra=extra)
        context.read += _read(context)


@behave.when('{count:d} lines are logged in one second')
def log(context, count):
    _log(context, count, 'line')


@behave.when('{count:d} routine lines are logged in one second')
def log_routine(context, count):
    _log(context, count, 'routine', routine=True)


@behave.then('some lines are counted as dropped')
def dropped(context):
    assert context.stream.dropped > 0


@behave.then('at most {count:d} lines are written')
def at_most(context, count):
    written = context.read.count('line ')
    assert 0 < written <= count, written


@behave.then(
    'the log reports how many were dropped, after {seconds:d} more seconds'
)
def reports_dropped(context, seconds):
    context.now += seconds
    context.log.info('after')
    context.read += _read(context)
    assert f'Dropped {context.stream.dropped} lines' in context.read


@behave.then('all of the last {count:d} lines are written')
def all_written(context, count):
    assert context.read.count('line ') == count, context.read.count('line ')
