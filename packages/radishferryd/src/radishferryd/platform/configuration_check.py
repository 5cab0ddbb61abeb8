"""Validate the configuration document of the operators."""

from __future__ import annotations

import collections

import orjson

from radishferry import findings
from radishferryd.platform import documents

Finding = findings.Finding


def check(value: bytes) -> list[findings.Finding]:
    """Return the findings of a configuration document.

    Each entry is decoded on its own, so that one fault does not hide others.
    """
    try:
        document = orjson.loads(value)
    except orjson.JSONDecodeError as exc:
        return [Finding('document', f'is not valid JSON: {exc}')]
    if not isinstance(document, dict):
        return [Finding('document', 'expected an object')]
    empty = {'version': document.get('version'), 'routes': {}, 'services': {}}
    found = _decode_findings('version', empty)
    if found:
        # An invalid version would make decoding every other entry fail.
        empty['version'] = '1'
    for section in ('services', 'routes'):
        entries = document.get(section)
        if not isinstance(entries, dict):
            found.append(Finding(section, 'expected an object'))
            continue
        for name, fields in entries.items():
            single = {**empty, section: {name: fields}}
            found.extend(_decode_findings(f'{section}.{name}', single))
    limits = {**empty, 'limits': document.get('limits')}
    found.extend(_decode_findings('limits', limits))
    if not found:
        found.extend(_conflict_findings(documents.decode_configuration(value)))
    return found


def _decode_findings(place, document):
    try:
        documents.decode_configuration(orjson.dumps(document))
    except documents.DocumentError as exc:
        return [Finding(place, str(exc))]
    return []


def _conflict_findings(configuration):
    """Yield the conflicts between entries that are valid on their own."""
    for route in configuration.routes:
        for part in route.parts:
            if part.service not in configuration.services:
                yield Finding(
                    f'routes.{route.name}',
                    f'there is no service {part.service}',
                )
    names_by_prefix = collections.defaultdict(list)
    for route in configuration.routes:
        names_by_prefix[(route.virtual_host, route.prefix)].append(route.name)
    for (host, prefix), names in names_by_prefix.items():
        if len(names) > 1:
            yield Finding(
                f'routes.{names[-1]}',
                f'{host}{prefix} is declared by {", ".join(names[:-1])} too',
            )
