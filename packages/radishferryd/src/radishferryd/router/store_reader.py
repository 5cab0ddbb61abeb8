"""Read configuration, servers and owners from the store.

The granting host polls the store all the time and forwards changes to the
other hosts. Those poll it themselves only while the granting host cannot be
reached or its data is stale, since calls to the store are costly.
"""

from __future__ import annotations

import logging

from radishferry.direct import key_rows
from radishferryd.platform import documents
from radishferryd.platform import store as store_module

LOG = logging.getLogger(__name__)

#: Table with the rows of this system.
OWN_TABLE = 'radishferry'
#: Key of the row that names the granting host.
TERM_KEY = 'granter'
#: Prefix of the keys of rows with the owners of a service.
KEYS_PREFIX = 'keys/'

#: Seconds between reads of the list of servers by the granting host. No host
#: may send requests to a server later than two seconds after it announced that
#: it leaves, and the change has to be forwarded within this time as well.
GRANTER_INTERVAL_S = 0.7
#: The same for a host that polls for itself only.
STANDALONE_INTERVAL_S = 1.3
#: Seconds for which the store may hold back the answer to a read of the feed
#: (long polling). A dead connection is detected half a second after this
#: time, and hosts have to know the configuration again three seconds after
#: their connections were lost.
FEED_WAIT_S = 1.0
#: Delay in seconds between two reads of the feed, so that configurations in
#: quick succession are read together.
FEED_PAUSE_S = 0.2
#: Delay in seconds before a failed call is repeated.
RETRY_S = 0.4
#: Seconds for which evacuations are kept that the store does not name any more
#: after it was restored from an older copy. Operators write them again.
RESTORED_KEEP_S = 3.0


class _Polling:
    """Control periodic reads that can be started and stopped."""

    def __init__(self, name, scheduler):
        self._name = name
        self._scheduler = scheduler
        self._generation = 0
        self.is_active = False

    def set_active(self, is_active) -> bool:
        """Start or stop polling.

        :returns: Whether polling has been started by this call.
        """
        if is_active == self.is_active:
            return False
        self.is_active = is_active
        self._generation += 1
        LOG.info(
            'store: %s reading the %s.',
            'Started' if is_active else 'Stopped',
            self._name,
        )
        return is_active

    def guard(self, function):
        """Wrap a callback so that a later start or stop disables it."""
        generation = self._generation

        def call(*args):
            if generation == self._generation:
                function(*args)

        return call

    def call_later(self, delay_s, function):
        """Schedule a call that a later start or stop cancels."""
        self._scheduler.call_later(delay_s, self.guard(function))


class StoreReader:
    """Update the data of this host from the store."""

    def __init__(self, store, scheduler, routing_state):
        """Create a reader that does not poll yet.

        :param store: A :class:`radishferryd.platform.store.Store`.
        :param routing_state: A
            :class:`~radishferryd.router.knowledge.RoutingState`.
        """
        self._store = store
        self._scheduler = scheduler
        self._routing_state = routing_state
        self._decoder = documents.ServerDecoder()
        self._polling = _Polling('servers and the configuration', scheduler)
        self._interval_s = STANDALONE_INTERVAL_S
        self._feed_version = None
        self._feed_era = None
        #: Data centres that are evacuated by the rows read so far.
        self._evacuations = frozenset()
        self._kept_evacuations = frozenset()
        self._keep_evacuations_until = 0.0
        self._is_available = True

    def set_polling(self, is_polling, interval_s=STANDALONE_INTERVAL_S):
        """Start or stop polling.

        :param interval_s: Seconds between reads of the list of servers.
        """
        if interval_s < self._interval_s:
            # Restart, since the next read may be scheduled too late for the
            # shorter interval.
            self._polling.set_active(False)
        self._interval_s = interval_s
        if self._polling.set_active(is_polling):
            self._read_servers()
            self._read_configuration()

    def note_answer(self, answer) -> bool:
        """Record whether the store answered.

        :returns: Whether the answer is usable.
        """
        is_usable = not isinstance(answer, store_module.Unavailable)
        now = self._scheduler.now()
        registry = self._routing_state.registry
        if is_usable:
            registry.note_answer(now)
        else:
            registry.note_outage(now)
        if is_usable != self._is_available:
            self._is_available = is_usable
            if is_usable:
                LOG.info('store: The store answers again.')
            else:
                LOG.warning(
                    'store: The store does not answer.',
                    extra={'detail': answer.detail},
                )
        return is_usable

    def note_restored(self):
        """Handle that the store was restored from an older copy.

        Servers write their entries again. Until then the list may lack
        servers that run, and name some that have left. Operators write their
        rows again.
        """
        LOG.warning(
            'store: The store was restored from an older copy; what it does '
            'not have any more is written again.',
            extra={'era': self._store.eras.current},
        )
        now = self._scheduler.now()
        self._kept_evacuations = self._evacuations
        self._keep_evacuations_until = now + RESTORED_KEEP_S
        self._routing_state.registry.note_restored(now)

    def _read_servers(self):
        def handle(answer):
            delay_s = RETRY_S
            if self.note_answer(answer):
                delay_s = self._interval_s
                services = None
                if self._routing_state.configuration is not None:
                    services = self._routing_state.configuration.services
                self._routing_state.apply_servers(
                    self._decoder.decode(answer.rows, services),
                    answer.sent_at,
                    'store',
                )
            self._polling.call_later(delay_s, self._read_servers)

        self._store.read(documents.SERVER_TABLE, self._polling.guard(handle))

    def _read_configuration(self):
        def handle(answer):
            if not self.note_answer(answer):
                self._log_failure(answer)
                self._polling.call_later(RETRY_S, self._read_configuration)
                return
            self._evacuations = frozenset()
            self._apply(answer)
            self._watch()

        self._store.read(documents.OPERATOR_TABLE, self._polling.guard(handle))

    def _watch(self):
        def handle(answer):
            if isinstance(answer, store_module.HistoryLost):
                self._read_configuration()
            elif not self.note_answer(answer):
                self._log_failure(answer)
                # Changes may have been missed; read the whole table again.
                self._read_configuration()
            else:
                self._apply(answer)
                delay_s = FEED_PAUSE_S if answer.rows else 0.0
                self._polling.call_later(delay_s, self._watch)

        self._store.watch(
            documents.OPERATOR_TABLE,
            self._feed_version,
            FEED_WAIT_S,
            self._polling.guard(handle),
            self._feed_era,
        )

    def _log_failure(self, answer):
        LOG.warning(
            'store: The configuration was not read.',
            extra={
                'detail': answer.detail,
                'age_s': round(self._routing_state.configuration_age_s, 3),
            },
        )

    def _apply(self, answer):
        self._feed_version, self._feed_era = answer.version, answer.era
        self._routing_state.note_configuration_read(self._scheduler.now())
        for row in answer.rows:
            if row.key == documents.CONFIGURATION_KEY and not row.is_deleted:
                self._routing_state.apply_document(row.value, 'store')
        self._evacuations = documents.apply_evacuations(
            self._evacuations, answer.rows
        )
        now = self._scheduler.now()
        if now >= self._keep_evacuations_until:
            self._kept_evacuations = frozenset()
        self._routing_state.apply_evacuations(
            self._evacuations | self._kept_evacuations, now
        )

    def apply_owners(self, rows):
        """Use the owners in rows of the store.

        A range that a previous owner may still hold is treated as settled:
        the row is not updated when the previous owner releases it, and a
        server refuses a request for a key that it does not hold yet.
        """
        for service, row, _ in key_rows_of(rows):
            self._routing_state.apply_row(
                service, tuple(_settled(s) for s in row.segments), row.stamp
            )


def key_rows_of(rows):
    """Yield service, decoded row and version of each valid owner row."""
    for row in rows:
        if not row.key.startswith(KEYS_PREFIX) or row.is_deleted:
            continue
        try:
            decoded = key_rows.decode(row.value, row.version)
        except key_rows.RowError as exc:
            LOG.error('store: Row %s cannot be used: %s.', row.key, exc)
            continue
        yield row.key[len(KEYS_PREFIX) :], decoded, row.version


def _settled(segment):
    return type(segment)(
        segment.start, segment.end, segment.owner, segment.fence
    )
