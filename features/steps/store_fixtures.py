"""Fakes of the platform's store and of the host that uses it."""

from __future__ import annotations

import collections

from radishferryd.platform import store as store_module
from radishferryd.router import store_reader


class Store:
    """Fake store that answers after a delay and counts the reads."""

    def __init__(self, time, delay_s=0.004):
        self._time = time
        self._delay_s = delay_s
        self._version = 1
        self.rows = {}
        self.reads = collections.Counter()
        #: Whether calls of the feed get no response.
        self.is_feed_silent = False

    def put(self, table, key, value):
        self._version += 1
        self.rows[(table, key)] = store_module.Row(
            table, key, value, self._version
        )

    def read(self, table, done):
        self.reads[table] += 1
        sent_at = self._time.now()

        def answer():
            rows = [r for r in self.rows.values() if r.table == table]
            done(
                store_module.Rows(
                    tuple(rows), self._version, self._time.now(), sent_at
                )
            )

        self._time.call_later(self._delay_s, answer)

    def watch(self, table, version, wait_s, done, era=None):
        if self.is_feed_silent:
            failure = store_module.Unavailable('no response in time', True)
            self._time.call_later(
                wait_s + store_module.FEED_MARGIN_S, lambda: done(failure)
            )
            return
        rows = store_module.Rows((), 1, self._time.now(), self._time.now())
        self._time.call_later(wait_s, lambda: done(rows))

    def transact(self, conditions, writes, done, timeout_s):
        def answer():
            rows = [self.rows.get((c.table, c.key)) for c in conditions]
            found = [row.version if row else 0 for row in rows]
            if found != [condition.version for condition in conditions]:
                now = self._time.now()
                done(store_module.Conflict(tuple(filter(None, rows)), now))
                return
            for write in writes:
                self.put(*write)
            done(store_module.Written(self._version, self._time.now()))

        def fail():
            done(store_module.Unavailable('no answer in time', True))

        if self._delay_s > timeout_s:
            self._time.call_later(timeout_s, fail)
        else:
            self._time.call_later(self._delay_s, answer)


class Host:
    """Fake host that records the callbacks of a leader elector or spoke."""

    def __init__(self, *, reaches_servers=True):
        self._reaches_servers = reaches_servers
        self.owners = []
        self.is_granter = False
        self.is_linked = False
        self.losses = 0

    def needs_granter(self):
        return not self.is_linked

    def granter_found(self, term):
        self.is_linked = True

    def granter_lost(self):
        self.is_linked = False

    def owners_read(self, rows):
        self.owners.extend(store_reader.key_rows_of(rows))

    def rows_restored(self, rows):
        """Ignore the rows; this host grants nothing."""

    def note_store_answer(self, answer):
        return True

    def term_taken(self):
        self.is_granter = True

    def term_lost(self):
        self.is_granter = False
        self.losses += 1

    def loses_links(self):
        """Let the host reach no server."""
        self._reaches_servers = False

    def reaches_servers(self):
        return self._reaches_servers

    def set_host_count(self, count):
        """Ignore the number of hosts."""
