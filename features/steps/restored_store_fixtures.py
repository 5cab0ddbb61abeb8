"""Stand in for a store that is restored from older copies, and its client."""

from __future__ import annotations

import base64
import collections
import urllib.parse

from radishferryd import http_client

#: Seconds between copies of the store.
COPY_INTERVAL_S = 0.25
#: Longest age of a copy in seconds.
MAX_COPY_AGE_S = 5.0
#: Longest delay in seconds after which a call without an answer is executed.
MAX_LATE_S = 4.0


class Store:
    """Keep rows, copies of them, and the number of restores.

    :ivar names_era: Whether answers have the header with the era.
    :ivar is_down: Whether the store answers 503 to all calls.
    """

    def __init__(self, scheduler, *, names_era=True):
        self._scheduler = scheduler
        self.rows = {}
        self.version = 10
        self.era = 0
        self.names_era = names_era
        self.is_down = False
        self._copies = collections.deque()
        self._copy()

    def _copy(self):
        now = self._scheduler.now()
        self._copies.append((now, dict(self.rows), self.version))
        while self._copies[0][0] < now - MAX_COPY_AGE_S:
            self._copies.popleft()
        self._scheduler.call_later(COPY_INTERVAL_S, self._copy)

    def restore(self, age_s):
        """Return to the newest copy that is at least this old."""
        limit = self._scheduler.now() - age_s
        copies = [c for c in self._copies if c[0] <= limit]
        _, rows, self.version = (copies or self._copies)[-1 if copies else 0]
        self.rows = dict(rows)
        self.era += 1

    def put(self, table, key, value):
        """Write a row without a condition."""
        self.version += 1
        self.rows[table, key] = value, self.version

    def handle(self, target, body):
        """Execute a call.

        :returns: Status and body of the answer.
        """
        if self.is_down:
            return 503, {}
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        answer = {'api_version': self.version, 'now_s': self._scheduler.now()}
        if path.endswith('rows-tx'):
            status = self._transact(body, answer)
            return status, answer | {'api_version': self.version}
        after = int(fields.get('after', 0))
        if after > self.version:
            return 410, answer
        answer['rows'] = [
            self._encode(table, key)
            for table, key in sorted(self.rows)
            if table == fields['table'] and self.rows[table, key][1] > after
        ]
        return 200, answer

    def _transact(self, body, answer):
        conditions = body['precondition']
        found = [self._encode(c['table'], c['key']) for c in conditions]
        if any(
            row['api_version'] != condition['api_version']
            for row, condition in zip(found, conditions, strict=True)
        ):
            answer['rows'] = [row for row in found if row['api_version']]
            return 412
        self.version += 1
        for entry in body['writes']:
            value = base64.b64decode(entry['value'])
            self.rows[entry['table'], entry['key']] = value, self.version
        return 200

    def _encode(self, table, key):
        value, version = self.rows.get((table, key), (b'', 0))
        return {
            'table': table,
            'key': key,
            'value': base64.b64encode(value).decode(),
            'api_version': version,
        }


class Client:
    """Carry the calls of one host to the store, with delays and losses.

    :ivar is_cut: Whether calls get no answer.
    :ivar loses_answers: Whether some calls get no answer; these may be
        executed at once, late or never.
    """

    def __init__(self, store, scheduler, rng):
        self._store = store
        self._scheduler = scheduler
        self._rng = rng
        self.is_cut = False
        self.loses_answers = False

    def close(self):
        """Do nothing, since there are no connections."""

    def call(self, method, target, body, timeout_s, done, silence_s=9e9):
        """See :meth:`radishferryd.http_client.JsonClient.call`."""
        sent_at = self._scheduler.now()
        is_lost = self.is_cut or (
            self.loses_answers and self._rng.random() < 0.3
        )
        if is_lost:
            delay_s = self._rng.choice(
                (0.01, self._rng.uniform(0, MAX_LATE_S))
            )
            if method == 'POST' and self._rng.random() < 0.7:
                self._scheduler.call_always(
                    delay_s, lambda: self._store.handle(target, body)
                )
            failure = http_client.JsonFailure('no response in time', True)
            self._scheduler.call_later(
                min(timeout_s, silence_s), lambda: done(failure)
            )
            return

        wait_s = 1.0 if 'rows-feed' in target else 0.0

        def execute():
            status, answer = self._store.handle(target, body)
            waited_s = self._scheduler.now() - sent_at
            if status == 200 and not answer.get('rows') and waited_s < wait_s:
                self._scheduler.call_always(0.05, execute)
                return
            era = str(self._store.era)
            headers = (('store-era', era),) if self._store.names_era else ()

            def deliver():
                now = self._scheduler.now()
                done(
                    http_client.JsonResponse(
                        status, answer, sent_at, now, headers
                    )
                )

            self._scheduler.call_later(self._delay_s(), deliver)

        self._scheduler.call_always(self._delay_s(), execute)

    def _delay_s(self):
        return self._rng.choice((0.001, 0.003, self._rng.uniform(0, 0.2)))
