"""Agree between hosts on leases that are longer than usual ("long holds").

While the store does not answer, the granting host grants keys for longer than
usual. A host that takes over later does not know these grants. It has to wait
for the longest lease of every server that it cannot reach, unless it knows
that all leases have the usual duration ("usual holds"). The granting host
therefore asks all hosts that it has told of usual holds for their consent
before it grants longer leases.
"""

from __future__ import annotations


class Consent:
    """Track, at the granting host, which hosts agree to long holds.

    Each renewal of the leadership row has a version of its own. What hosts
    were told or have agreed to is valid for one version.
    """

    def __init__(self):
        self._version = 0
        self._told = set()
        self._agreed = set()
        self._is_blocked = False

    @property
    def is_given(self) -> bool:
        """Return whether each host that was told of usual holds agrees."""
        return not self._is_blocked and self._told <= self._agreed

    def note_renewed(self, version):
        """Discard the state of earlier versions after a renewal.

        :param int version: Version of the leadership row.
        """
        if version != self._version:
            self._version = version
            self._told.clear()
            self._agreed.clear()
            self._is_blocked = False

    def note_told(self, host):
        """Record that usual holds of this version were announced to a host."""
        self._told.add(host)

    def note_agreed(self, host, version):
        """Record that a host agrees to long holds.

        :param int version: Version that it agrees for; others are ignored.
        """
        if version == self._version:
            self._agreed.add(host)

    def note_lost(self, host):
        """Record that the link to a host is lost, so it cannot be asked.

        If it was told of usual holds and has not agreed to long ones, these
        are ruled out until the next renewal: the host may take over and rely
        on what it was told.
        """
        if host in self._told and host not in self._agreed:
            self._is_blocked = True


class AnnouncedHolds:
    """Keep, at another host, what the granting host announced of its holds."""

    def __init__(self):
        self._usual_version = None
        self._agreed_version = 0

    def note(self, version, *, has_usual_holds):
        """Record a message of the granting host.

        :param int version: Version of its leadership row.
        :param bool has_usual_holds: Whether no lease is longer than usual,
            and none will be under this version unless this host agrees.
        """
        if has_usual_holds and version > self._agreed_version:
            self._usual_version = version
        elif version == self._usual_version:
            self._usual_version = None

    def note_agreed(self, version):
        """Record the consent to long holds under a version.

        It cannot be withdrawn: later messages of usual holds for this or an
        earlier version are ignored.
        """
        self._agreed_version = max(version, self._agreed_version)
        self.note(version, has_usual_holds=False)

    def had_usual_holds(self, version) -> bool:
        """Return whether all leases are known to have the usual duration.

        :param int version: Last version of the leadership row of the
            previous granting host.
        """
        return version == self._usual_version
