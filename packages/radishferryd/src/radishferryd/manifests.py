"""Manage the manifest in force and accept new versions."""

from __future__ import annotations

import dataclasses
import logging

from radishferry import findings
from radishferry import manifest_diff
from radishferry import manifest_parser
from radishferryd import operations
from radishferryd import table_service
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Name of the row with the manifest in force.
CURRENT_ROW = 'manifest/current'
#: Seconds between attempts to read the manifest from the table.
RETRY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Document:
    """Represent the version and the text of a manifest."""

    version: int
    text: bytes


class Manifests:
    """Apply the manifest with the highest known version."""

    def __init__(self, app, apply):
        """Start without a manifest.

        :param app: Provides ``table``, ``scheduler`` and ``broadcaster``.
        :param apply: Called with each manifest that comes into force.
        """
        self._app = app
        self._apply = apply
        self._document = None
        self._manifest = None

    @property
    def document(self) -> Document | None:
        """Return the manifest in force."""
        return self._document

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._document.version if self._document else 0

    def load(self):
        """Read the manifest from the table, retrying until that succeeds."""

        def done(result):
            if isinstance(result, table_service.Unavailable):
                if self._document is None:
                    LOG.warning(
                        'manifest: The table cannot be read: %s.',
                        result.detail,
                    )
                self._app.scheduler.call_later(RETRY_S, self.load)
                return
            for row in result:
                self.apply_if_newer(
                    row.value['version'], row.value['document'].encode()
                )

        self._app.table.read(CURRENT_ROW, done)

    def apply_if_newer(self, version, text) -> bool:
        """Apply a manifest that was accepted by some host, if it is newer.

        :returns: Whether the manifest was applied.
        """
        if version <= self.version:
            return False
        try:
            manifest = manifest_parser.parse(text)
        except findings.FindingsError as exc:
            LOG.error('manifest: Version %d is not valid: %s.', version, exc)
            return False
        self._document = Document(version, text)
        self._manifest = manifest
        LOG.info('manifest: Version %d is in force.', version)
        self._apply(manifest)
        return True

    def submit(self, text, done):
        """Validate and store a manifest for all hosts.

        :param bytes text: The manifest document.
        :param done: Called with a result of :mod:`radishferryd.operations`.
        """
        try:
            manifest = manifest_parser.parse(text)
        except findings.FindingsError as exc:
            done(operations.Rejected(exc.findings))
            return

        def on_read(result):
            if isinstance(result, table_service.Unavailable):
                done(operations.Unavailable(result.detail))
                return
            row = next(iter(result), None)
            current_version = row.value['version'] if row else 0
            if row is not None:
                self.apply_if_newer(
                    current_version, row.value['document'].encode()
                )
            if manifest.version <= current_version:
                done(operations.Conflict(current_version))
                return
            found = manifest_diff.transition_findings(self._manifest, manifest)
            if found:
                done(operations.Rejected(tuple(found)))
                return
            self._write(manifest, text, row.version if row else 0, done)

        self._app.table.read(CURRENT_ROW, on_read)

    def push_message(self, hops) -> ttypes.ManifestPush | None:
        """Return the message with the manifest in force, None without one."""
        if self._document is None:
            return None
        document = self._document
        return ttypes.ManifestPush(document.version, document.text, hops)

    def _write(self, manifest, text, row_version, done):
        value = {'version': manifest.version, 'document': text.decode()}
        history = f'manifest/{manifest.version}'

        def on_written(result):
            if isinstance(result, table_service.Written):
                self.apply_if_newer(manifest.version, text)
                self._app.broadcaster.send(
                    'manifest_push', self.push_message(0)
                )
                done(operations.Accepted(manifest.version))
            elif isinstance(result, table_service.Conflict):
                # Another manifest was stored first; report its version.
                self._report_conflict(done)
            else:
                done(operations.Unavailable(result.detail))

        self._app.table.transact(
            {history: 0, CURRENT_ROW: row_version},
            {history: value, CURRENT_ROW: value},
            on_written,
        )

    def _report_conflict(self, done):
        def on_read(result):
            if isinstance(result, table_service.Unavailable) or not result:
                done(operations.Conflict(self.version))
                return
            row = result[0]
            self.apply_if_newer(
                row.value['version'], row.value['document'].encode()
            )
            done(operations.Conflict(row.value['version']))

        self._app.table.read(CURRENT_ROW, on_read)
