"""Steps for routes that are split between services."""

from __future__ import annotations

import collections
import random

import behave

from radishferry.direct import configuration


@behave.given('{hosts:d} hosts that apply a split of {weights}')
def hosts_with_split(context, hosts, weights):
    random.seed(hosts)
    context.parts = tuple(
        configuration.Part(f'service{number}', float(weight))
        for number, weight in enumerate(weights.split())
    )
    context.choices = [
        configuration.WeightedChoice(context.parts) for _ in range(hosts)
    ]


@behave.when('callers send {count:d} requests to random hosts')
def callers_send(context, count):
    rng = random.Random(count)
    context.chosen = collections.Counter(
        rng.choice(context.choices).next() for _ in range(count)
    )


@behave.then('the share of each part is within {limit:g} of its weight')
def shares_match(context, limit):
    requests = context.chosen.total()
    weights = sum(part.weight for part in context.parts)
    for part in context.parts:
        share = context.chosen[part.service] / requests
        assert abs(share - part.weight / weights) <= limit, context.chosen
