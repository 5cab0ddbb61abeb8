"""Declare the operations that the administration listener calls."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from radishferry import findings as findings_module


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Report that a manifest was stored.

    :ivar version: Version of the manifest.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Report that a manifest is not valid.

    :ivar findings: All findings of the validation.
    """

    findings: tuple[findings_module.Finding, ...]


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Report that another manifest is in force and this one was not stored.

    :ivar version: The version in force.
    :ivar detail: One sentence for the operator.
    """

    version: int
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Report that a manifest was not stored, or that the result is unknown.

    :ivar detail: One sentence for the operator.
    :ivar is_unknown: Whether the manifest may nevertheless have been stored.
    """

    detail: str
    is_unknown: bool = False


SubmissionResult = Accepted | Rejected | Conflict | Unavailable


class Operations(typing.Protocol):
    """Perform operations of operators; no method blocks."""

    def is_ready(self) -> bool:
        """Return whether the host can route requests."""

    def status(self) -> dict:
        """Return a summary of JSON-compatible values.

        ``radishferryctl follow`` reads ``manifest_version``, an integer or
        None.
        """

    def dump(self) -> dict:
        """Return the whole state as JSON-compatible values of bounded size.

        ``radishferryctl`` reads ``servers``, a list of objects, and
        ``ranges`` and ``hot_keys``, which map the name of each service to a
        list of objects. It prints their fields as columns.
        """

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def poison(self) -> list:
        """Return the poison fingerprints as a list of JSON objects."""

    def manifest(self) -> bytes | None:
        """Return the document in force, None when there is none."""

    def submit_manifest(
        self, text: bytes, done: typing.Callable[[SubmissionResult], None]
    ) -> None:
        """Store a manifest.

        A result that arrives after :data:`radishferryd.admin.SUBMIT_LIMIT_S`
        (15 s) is dropped, because the operator has been told that the result
        is unknown.

        :param text: The document, not yet validated.
        :param done: Called once with the result from the event loop, possibly
            before this method returns.
        """

    def stop(self) -> None:
        """Start a graceful stop."""
