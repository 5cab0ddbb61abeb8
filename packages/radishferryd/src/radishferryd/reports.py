"""Report the servers and their load to other hosts."""

from __future__ import annotations

from radishferryd.gen import ttypes

#: Seconds between reports.
REPORT_S = 0.5


class Reports:
    """Send reports of the servers that this host coordinates."""

    def __init__(self, app):
        """Begin.

        :param app: Offers ``scheduler``, ``ownership``, ``planner``,
            ``policy`` and ``spread``.
        """
        self._app = app

    def start(self):
        """Begin to send reports."""
        self._app.scheduler.call_every(REPORT_S, self._report)

    def take_loads(self, report):
        """Take a ``LoadReport``."""
        for load in report.loads:
            self._app.planner.server_reported(load)
            self._app.policy.load_reported(load)

    def _report(self):
        loads = [
            ttypes.ServerLoad(
                owned.service.name,
                name,
                owned.dispatcher.queue.in_flight,
                owned.dispatcher.queue.waiting,
                owned.coordinator.state,
            )
            for name, owned in self._app.ownership.owned.items()
            if owned.coordinator.term
        ]
        if loads:
            report = ttypes.LoadReport(loads)
            self.take_loads(report)
            self._app.spread.send('load_report', report)
        for report in self._app.policy.demand_reports():
            self._app.policy.demand_reported(report)
            self._app.spread.send('demand_report', report)
