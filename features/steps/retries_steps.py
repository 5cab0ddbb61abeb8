"""Steps for the retry budget."""

from __future__ import annotations

import behave

from radishferry import outcomes
from radishferry import retries


@behave.given('a retry budget after {count:d} successes')
def budget_after(context, count):
    context.budget = retries.RetryBudget()
    for number in range(count):
        context.budget.record_success(number / count)


@behave.then(
    'a request with outcome {outcome}, idempotent {idempotent}, '
    'sent {attempts:d} times {may} be retried'
)
def request_retried(context, outcome, idempotent, attempts, may):
    found = retries.may_retry(
        outcomes.Outcome(outcome),
        idempotent == 'yes',
        attempts,
        context.budget,
        1.0,
    )
    assert found is (may == 'may')


@behave.then('{count:d} retries are allowed at {now:g} s')
def retries_allowed(context, count, now):
    found = sum(context.budget.take(now) for _ in range(1000))
    assert found == count, found


@behave.when('{count:d} requests that may not run again ask for a retry')
def refused_retries(context, count):
    for _ in range(count):
        assert not retries.may_retry(
            outcomes.Outcome.UNKNOWN, False, 1, context.budget, 0.5
        )
