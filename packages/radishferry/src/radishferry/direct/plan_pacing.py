"""Decide when the owners of the keys of a service are planned anew."""

from __future__ import annotations

#: Seconds between attempts to rebalance load.
BALANCE_S = 0.4
#: Number of ranges moving between servers above which load is not rebalanced.
MAX_UNSETTLED = 12
#: The same while the rate of some keys rises suddenly. A second group of keys
#: may become busy while the ranges of the first one still move.
MAX_UNSETTLED_AFTER_RISE = 200
#: Seconds after a sudden rise for which that holds.
RISE_S = 1.5


class PlanPacing:
    """Space the plans of one service, and make one soon after a rise."""

    def __init__(self):
        """Make the first plan due."""
        self._planned_at = 0.0

    def is_due(self, now, unsettled, rates=None) -> bool:
        """Return whether to plan now, and if so record it.

        :param unsettled: Number of ranges that move between servers.
        :param rates: The :class:`~radishferry.direct.key_rates.KeyRates` of a
            service that reacts to sudden rises, None for others.
        """
        has_risen = rates is not None and now - rates.risen_at < RISE_S
        if has_risen and rates.is_rising:
            # The next update knows how far the rate has risen; keys that are
            # spread by a rate that is too low have to move twice.
            return False
        is_first = has_risen and self._planned_at < rates.risen_at
        if not is_first and now - self._planned_at < BALANCE_S:
            return False
        self._planned_at = now
        return unsettled <= (
            MAX_UNSETTLED_AFTER_RISE if has_risen else MAX_UNSETTLED
        )
