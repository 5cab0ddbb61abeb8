"""Report the load of servers and the demand for services to other hosts."""

from __future__ import annotations

from radishferryd.gen import ttypes

#: Seconds between load reports.
REPORT_INTERVAL_S = 0.5


class Reports:
    """Send load reports on the servers that this host coordinates."""

    def __init__(self, app):
        """Initialise.

        :param app: Provides ``scheduler``, ``ownership``, ``planner``,
            ``policy`` and ``broadcaster``.
        """
        self._app = app

    def start(self):
        """Start to send reports."""
        self._app.scheduler.call_every(REPORT_INTERVAL_S, self._report)

    def handle_load_report(self, report):
        """Handle a ``LoadReport``."""
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
            for name, owned in self._app.ownership.coordinated.items()
            if owned.coordinator.term
        ]
        if loads:
            report = ttypes.LoadReport(loads)
            self.handle_load_report(report)
            self._app.broadcaster.send('load_report', report)
        for report in self._app.policy.demand_reports():
            self._app.policy.demand_reported(report)
            self._app.broadcaster.send('demand_report', report)
