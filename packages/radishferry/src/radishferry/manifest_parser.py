"""Parse a manifest document."""

from __future__ import annotations

import functools
import json

from radishferry import findings
from radishferry import manifest
from radishferry import manifest_checks
from radishferry import manifest_fields

#: Maximum number of reported findings, so that an invalid document of
#: megabytes does not produce an answer of megabytes.
MAX_FINDINGS = 100


def parse(text: bytes) -> manifest.Manifest:
    """Return the manifest that a JSON document declares.

    :param text: The document in UTF-8.
    :raises findings.FindingsError: The document is not valid; the error holds
        the findings with their places, at most :data:`MAX_FINDINGS`.
    """
    document = _load(text)
    converter = _Converter()
    parsed = converter.manifest(document)
    found = converter.findings
    if parsed is not None:
        found = found + manifest_checks.check(parsed)
    if found:
        raise findings.FindingsError(_truncate(found))
    return parsed


def _truncate(found):
    if len(found) <= MAX_FINDINGS:
        return found
    more = len(found) - MAX_FINDINGS
    rest = findings.Finding('manifest', f'{more} more findings not shown')
    return [*found[:MAX_FINDINGS], rest]


def _load(text):
    if len(text) > manifest_fields.MAX_DOCUMENT_BYTES:
        limit = manifest_fields.MAX_DOCUMENT_BYTES
        raise _error('manifest', f'the document exceeds {limit} bytes')
    try:
        return json.loads(
            text.decode(),
            object_pairs_hook=_Object,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        raise _error(f'byte {exc.start}', 'expected UTF-8') from exc
    except json.JSONDecodeError as exc:
        place = f'line {exc.lineno} column {exc.colno}'
        raise _error(place, f'not valid JSON: {exc.msg}') from exc
    except RecursionError as exc:
        raise _error('manifest', 'nested too deeply') from exc
    except ValueError as exc:
        raise _error('manifest', f'not valid JSON: {exc}') from exc


def _error(place, message):
    return findings.FindingsError([findings.Finding(place, message)])


def _reject_constant(name):
    raise ValueError(f'{name} is not a JSON number')


class _Object(dict):
    """Hold a JSON object and the names that occur in it more than once."""

    def __init__(self, pairs):
        super().__init__(pairs)
        self.repeated = []
        if len(self) != len(pairs):
            names = [name for name, _ in pairs]
            self.repeated = sorted({n for n in names if names.count(n) > 1})


class _Converter:
    """Convert JSON values to data classes and collect findings.

    An invalid value becomes None, so that the rest of the document is still
    checked and all findings are reported together.
    """

    def __init__(self):
        self.findings = []

    def manifest(self, value):
        fields = self._fields(value, '', manifest_fields.MANIFEST_FIELDS)
        if fields is None:
            return None
        services = self._objects(fields['services'], 'services', self._service)
        return manifest.Manifest(fields['version'], services)

    def _service(self, value, place):
        fields = self._fields(value, place, manifest_fields.SERVICE_FIELDS)
        if fields is None:
            return None
        for name, (cls, declared) in _ITEM_TYPES.items():
            read = functools.partial(self._item, cls, declared)
            fields[name] = self._objects(fields[name], f'{place}.{name}', read)
        return manifest.Service(**fields)

    def _item(self, cls, declared, value, place):
        fields = self._fields(value, place, declared)
        return None if fields is None else cls(**fields)

    def _objects(self, values, place, read):
        return tuple(
            read(value, f'{place}[{i}]')
            for i, value in enumerate(values or ())
        )

    def _fields(self, value, place, declared):
        if not isinstance(value, dict):
            self._report(
                place, f'expected an object, found {_describe(value)}'
            )
            return None
        for name in value.repeated:
            self._report(_join_place(place, name), 'given more than once')
        read = {f.name: self._field(f, value, place) for f in declared}
        if len(value.keys() & read.keys()) != len(value):
            self._report_unknown(value, place, read)
        return read

    def _field(self, field, value, place):
        given = value.get(field.name, field.default)
        if given is manifest_fields.REQUIRED:
            self._report(_join_place(place, field.name), 'missing')
            return None
        # Defaults are not checked, because they need not be JSON values.
        problem = None if given is field.default else field.check(given)
        if problem is None:
            return given
        self._report(
            _join_place(place, field.name),
            f'{problem}, found {_describe(given)}',
        )
        # The elements of a list of invalid length are checked as well.
        is_list = field.type_name == 'list' and isinstance(given, list)
        return given if is_list else None

    def _report_unknown(self, value, place, known):
        expected = ', '.join(sorted(known))
        for name in sorted(value.keys() - known.keys()):
            self._report(
                place,
                f'unknown field {_describe(name)}; expected one of {expected}',
            )

    def _report(self, place, message):
        self.findings.append(findings.Finding(place or 'manifest', message))


_ITEM_TYPES = {
    'servers': (manifest.Server, manifest_fields.SERVER_FIELDS),
    'kinds': (manifest.RequestKind, manifest_fields.KIND_FIELDS),
    'reservations': (
        manifest.Reservation,
        manifest_fields.RESERVATION_FIELDS,
    ),
}


def _join_place(place, name):
    return f'{place}.{name}' if place else name


def _describe(value):
    if isinstance(value, dict):
        return 'an object'
    if isinstance(value, list):
        return f'a list of {len(value)}'
    text = json.dumps(value)
    return text if len(text) <= 60 else text[:57] + '...'
