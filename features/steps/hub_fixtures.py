"""Stand in for the ownership that a hub tells the other hosts of."""

from __future__ import annotations

from radishferry.direct import long_holds


class Ownership:
    """Grant nothing."""

    services = ()
    is_active = True
    has_usual_holds = True
    wants_long_holds = False
    term_version = 1

    def __init__(self):
        self.on_segments = []
        self.on_wish = []
        self.consent = long_holds.Consent()
