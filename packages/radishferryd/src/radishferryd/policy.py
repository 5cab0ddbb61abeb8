"""Hold the load policy of the process: duplicates, poison, retries, choice."""

from __future__ import annotations

import random

from radishferry import keyspace
from radishferry import outcomes
from radishferryd import planner

key_hash = keyspace.key_hash


class _Chooser:
    def choose(self, candidates, now):
        return random.choice(candidates).name if candidates else None

    def started(self, name, now):
        pass

    def finished(self, name, latency, failed, now):
        pass


class _Budget:
    def succeeded(self, now):
        pass

    def may_retry(self, outcome, *, idempotent, attempts, now):
        if attempts > 2:
            return False
        return idempotent or outcome is outcomes.Outcome.NOT_RUN


class _Observer:
    def admit(self, job, now):
        return None

    def started(self, job, now):
        pass

    def finished(self, job, now):
        pass

    def ranges_taken(self, range_ids, now):
        pass


class Policy:
    """Offer the policy objects to the parts of the process."""

    def __init__(self, app):
        self._app = app
        self.budget = _Budget()
        self._choosers = {}

    def configure(self, manifest):
        """Take a manifest."""

    def chooser(self, service_name):
        """Return what chooses servers of a service."""
        return self._choosers.setdefault(service_name, _Chooser())

    def observer(self, service, server):
        """Return what follows the jobs of a server."""
        return _Observer()

    def demand(self, service_name):
        """Return measured load."""
        return planner.Demand()

    def demand_reports(self):
        """Return reports of this host."""
        return []

    def demand_reported(self, message):
        """Take a ``DemandReport``."""

    def load_reported(self, load):
        """Take a ``ServerLoad``."""

    def poison_reported(self, message):
        """Take a ``PoisonPush``."""

    def poison(self):
        """Return fingerprints."""
        return []

    def dump(self):
        """Return state."""
        return {}
