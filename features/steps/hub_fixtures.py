"""Fake of the ownership whose state a hub sends to other hosts."""

from __future__ import annotations

from radishferry.direct import long_holds
from radishferryd.router import relay_directory

RELAY_HOST = relay_directory.RelayHost('host1', 'x', ('127.0.0.1', 1))


def directory(scheduler, own=RELAY_HOST, reaches_servers=lambda: True):
    """Return a directory whose hosts the granting host ignores."""
    return relay_directory.RelayDirectory(
        scheduler, own, reaches_servers, lambda hosts: None
    )


class Ownership:
    """Fake ownership that grants no keys."""

    services = ()
    is_active = True
    has_usual_holds = True
    wants_long_holds = False
    term_version = 1

    def __init__(self):
        self.on_segments = []
        self.on_long_holds_wanted = []
        self.consent = long_holds.Consent()

    def note_load(self, keys, speeds):
        """Ignore the load."""
