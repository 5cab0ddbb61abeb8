"""Release leadership when only other hosts reach servers."""

from __future__ import annotations

import logging

from radishferryd.router import ownership as ownership_module

LOG = logging.getLogger(__name__)

#: Seconds for which a granting host without links to the servers waits before
#: it releases leadership, so that a short disturbance causes no change.
LOST_S = 0.3


class HandOver:
    """Decide when a granting host leaves leadership to another host.

    Leases expire if nobody renews them, and a host without links to the
    servers cannot renew any, while it can renew its leadership at the store.
    """

    def __init__(self, links, relay_directory, term, ownership, on_resigned):
        """Create the rule, which :meth:`check` applies.

        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host.
        :param relay_directory: The
            :class:`~radishferryd.router.relay_directory.RelayDirectory`,
            which knows whether other hosts reach servers.
        :param term: The :class:`~radishferryd.router.term.LeaderElector`.
        :param ownership: The
            :class:`~radishferryd.router.ownership.Ownership`.
        :param on_resigned: Called after leadership was released.
        """
        self._links = links
        self._relay_directory = relay_directory
        self._term = term
        self._ownership = ownership
        self._on_resigned = on_resigned

    def check(self):
        """Release leadership if another host is to hold it."""
        lost_s = self._links.lost_s
        if (
            not self._ownership.is_active
            or lost_s < LOST_S
            or not self._relay_directory.has_reaching_host
            # No host could take over while the store does not answer.
            or self._term.silent_s > ownership_module.ASK_CONSENT_S
        ):
            return
        LOG.warning(
            'app: Another host is to grant keys, since this one has lost its '
            'links to the servers.',
            extra={'lost_s': round(lost_s, 3)},
        )
        self._term.resign(self._ownership.has_usual_holds)
        self._on_resigned()
