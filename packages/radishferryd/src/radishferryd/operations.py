"""Declare what the administration listener asks of the process."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from radishferry import findings as findings_module


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Say that a manifest is stored.

    :ivar version: Its version.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Say that a manifest is not valid.

    :ivar findings: Everything that is wrong with it.
    """

    findings: tuple[findings_module.Finding, ...]


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Say that another manifest won.

    :ivar version: The version in force.
    :ivar detail: One sentence for the operator.
    """

    version: int
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Say that the manifest was not stored, or that this is not known.

    :ivar detail: One sentence for the operator.
    :ivar is_unknown: Whether it may have been stored all the same.
    """

    detail: str
    is_unknown: bool = False


Submission = Accepted | Rejected | Conflict | Unavailable


class Operations(typing.Protocol):
    """Do what operators ask for; every method returns at once."""

    def is_ready(self) -> bool:
        """Tell whether the host can route requests."""

    def status(self) -> dict:
        """Return a summary, ready for JSON.

        ``radishferryctl follow`` reads ``manifest_version``, an integer or
        None.
        """

    def dump(self) -> dict:
        """Return the whole state, bounded and ready for JSON.

        ``radishferryctl`` reads ``servers``, a list of objects, and
        ``ranges`` and ``hot_keys``, which map the name of each service to a
        list of objects. It prints their fields as columns.
        """

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def poison(self) -> list:
        """Return the poison fingerprints as a list of objects for JSON."""

    def manifest(self) -> bytes | None:
        """Return the document in force, None when there is none."""

    def submit_manifest(
        self, text: bytes, done: typing.Callable[[Submission], None]
    ) -> None:
        """Store a manifest.

        An answer that comes after 15 s is dropped: the operator has been
        told that the result is not known.

        :param text: The document, not yet checked.
        :param done: Called once from the loop, now or later.
        """

    def stop(self) -> None:
        """Begin a graceful stop."""
