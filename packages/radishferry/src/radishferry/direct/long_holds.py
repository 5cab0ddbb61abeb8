"""Agree on grants that hold for longer than usual.

While the store is silent, the granting host grants keys for long. A host that
takes over later does not know of its orders, so it has to wait for the
longest hold of every server that it cannot reach, unless it knows that there
are usual holds only. The granting host therefore asks all hosts that it has
told of usual holds before it gives longer ones.
"""

from __future__ import annotations


class Consent:
    """Follow, at the granting host, which hosts agree to long holds.

    Each write of the row of the right to grant has a version of its own, and
    what hosts were told or agree to holds for one version.
    """

    def __init__(self):
        self._version = 0
        self._told = set()
        self._agreed = set()
        self._is_refused = False

    @property
    def is_given(self) -> bool:
        """Tell whether each host that was told of usual holds agrees."""
        return not self._is_refused and self._told <= self._agreed

    def renewed(self, version):
        """Begin anew when the right to grant has been renewed.

        :param int version: Version of its row.
        """
        if version != self._version:
            self._version = version
            self._told.clear()
            self._agreed.clear()
            self._is_refused = False

    def told(self, host):
        """Note that a host is told the version and that holds are usual."""
        self._told.add(host)

    def agreed(self, host, version):
        """Note that a host agrees."""
        if version == self._version:
            self._agreed.add(host)

    def lost(self, host):
        """Note that a host cannot be asked any more.

        It may take over, and would then rely on what it was told.
        """
        if host in self._told and host not in self._agreed:
            self._is_refused = True


class News:
    """Hold, at another host, what the granting host has told of its holds."""

    def __init__(self):
        self._usual_version = None
        self._agreed_version = 0

    def note(self, version, *, is_usual):
        """Take what the granting host tells.

        :param int version: Version of its right to grant.
        :param bool is_usual: Whether no hold is longer than usual, nor will
            be under this version unless this host agrees.
        """
        if is_usual and version > self._agreed_version:
            self._usual_version = version
        elif version == self._usual_version:
            self._usual_version = None

    def agree(self, version):
        """Note that long holds are agreed to under a version, for good."""
        self._agreed_version = max(version, self._agreed_version)
        self.note(version, is_usual=False)

    def is_usual(self, version) -> bool:
        """Tell whether there are usual holds only.

        :param int version: Last version of the right of the host that granted
            before.
        """
        return version == self._usual_version
