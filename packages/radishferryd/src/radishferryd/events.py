"""Declare the events of the control plane."""

from __future__ import annotations

from circuits.core import Event


class manifest_applied(Event):  # noqa: N801
    """Tell that a manifest is in force in this process.

    :param manifest: The :class:`~radishferry.manifest.Manifest`.
    """


class rows_applied(Event):  # noqa: N801
    """Tell that rows of the table are newer than what was known.

    :param ranges: Service name to changed range assignments by range id.
    :param coordinators: Service name to coordinator assignments by server.
    """


class hosts_changed(Event):  # noqa: N801
    """Tell that hosts came or went.

    :param changes: List of ``HostUp``, ``HostDown`` and ``RelayChanged``.
    """


class stopping(Event):  # noqa: N801
    """Tell that a planned stop has begun."""
