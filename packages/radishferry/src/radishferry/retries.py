"""Decide whether a request may be sent again."""

from __future__ import annotations

import collections

from radishferry import outcomes

#: Time over which successes and retries are counted, in seconds.
WINDOW_S = 10.0
#: Retries allowed per success in the window.
RETRY_RATIO = 0.2
#: Retries allowed in the window however few the successes, so that an idle
#: process can retry.
RETRY_FLOOR = 5
#: Maximum number of retries of one request.
MAX_RETRIES = 2
#: Length of the buckets in which the window is counted, in seconds.
BUCKET_S = 0.5


class RetryBudget:
    """Limit retries to a fraction of the recent successes of the process."""

    def __init__(self):
        self._buckets = collections.deque()
        self._successes = 0
        self._retries = 0

    def record_success(self, now: float):
        """Count a request that succeeded.

        :param now: Seconds.
        """
        self._bucket(now)[1] += 1
        self._successes += 1

    def take(self, now: float) -> bool:
        """Take one retry from the budget.

        :param now: Seconds.
        :returns: Whether the retry is allowed; False when the budget is
            exhausted.
        """
        bucket = self._bucket(now)
        allowed = max(RETRY_FLOOR, int(self._successes * RETRY_RATIO))
        if self._retries >= allowed:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _bucket(self, now):
        buckets = self._buckets
        bucket_index = now // BUCKET_S
        if buckets and buckets[-1][0] >= bucket_index:
            return buckets[-1]
        # A bucket is dropped as soon as its start is outside of the window,
        # so that no count is used for longer than the window.
        while buckets and buckets[0][0] * BUCKET_S <= now - WINDOW_S:
            _, successes, retries = buckets.popleft()
            self._successes -= successes
            self._retries -= retries
        buckets.append([bucket_index, 0, 0])
        return buckets[-1]


def may_retry(
    outcome: outcomes.Outcome,
    idempotent: bool,
    attempts: int,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Return whether to retry a request, and charge the budget if so.

    :param outcome: Outcome of the last attempt.
    :param idempotent: Whether the request may run more than once.
    :param attempts: Number of times the request was sent, at least 1.
    :param budget: Retry budget of the process; charged only when the result
        is true.
    :param now: Seconds.
    """
    if outcome is outcomes.Outcome.RAN:
        return False
    if outcome is not outcomes.Outcome.NOT_RUN and not idempotent:
        return False
    if attempts > MAX_RETRIES:
        return False
    return budget.take(now)
