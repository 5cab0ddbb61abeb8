"""Fake of the ownership whose state a hub sends to other hosts."""

from __future__ import annotations

from radishferry.direct import long_holds


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
