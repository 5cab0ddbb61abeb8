"""Declare the events of the control plane."""

from __future__ import annotations

from circuits.core import Event


class manifest_applied(Event):  # noqa: N801
    """Signal that a manifest is in force in this process.

    :param manifest: The :class:`~radishferry.manifest.Manifest`.
    """


class rows_applied(Event):  # noqa: N801
    """Signal that newer rows of the table were applied.

    :param ranges: Service name to changed range assignments by range id.
    :param coordinators: Service name to coordinator assignments by server.
    """


class hosts_changed(Event):  # noqa: N801
    """Signal that hosts joined or left.

    :param changes: List of ``HostUp``, ``HostDown`` and ``RelayChanged``.
    """


class stopping(Event):  # noqa: N801
    """Signal that a planned stop has begun."""
