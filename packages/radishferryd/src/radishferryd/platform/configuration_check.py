"""Find everything that is wrong with a configuration of the operators."""

from __future__ import annotations

import collections

import orjson

from radishferry import findings
from radishferryd.platform import documents

Finding = findings.Finding


def check(value: bytes) -> list[findings.Finding]:
    """Return the findings of a configuration document.

    Each entry is decoded alone, so that one fault does not hide others.
    """
    try:
        document = orjson.loads(value)
    except orjson.JSONDecodeError as exc:
        return [Finding('document', f'is no JSON: {exc}')]
    if not isinstance(document, dict):
        return [Finding('document', 'expected an object')]
    empty = {'version': document.get('version'), 'routes': {}, 'services': {}}
    found = _decoded('version', empty)
    if found:
        # Nothing else can be decoded with a version that cannot.
        empty['version'] = '1'
    for part in ('services', 'routes'):
        entries = document.get(part)
        if not isinstance(entries, dict):
            found.append(Finding(part, 'expected an object'))
            continue
        for name, fields in entries.items():
            one = {**empty, part: {name: fields}}
            found.extend(_decoded(f'{part}.{name}', one))
    limits = {**empty, 'limits': document.get('limits')}
    found.extend(_decoded('limits', limits))
    if not found:
        found.extend(_between(documents.decode_configuration(value)))
    return found


def _decoded(place, document):
    try:
        documents.decode_configuration(orjson.dumps(document))
    except documents.DocumentError as exc:
        return [Finding(place, str(exc))]
    return []


def _between(configuration):
    """Yield what is wrong between entries that are valid alone."""
    for route in configuration.routes:
        for part in route.parts:
            if part.service not in configuration.services:
                yield Finding(
                    f'routes.{route.name}',
                    f'there is no service {part.service}',
                )
    places = collections.defaultdict(list)
    for route in configuration.routes:
        places[(route.virtual_host, route.prefix)].append(route.name)
    for (host, prefix), names in places.items():
        if len(names) > 1:
            yield Finding(
                f'routes.{names[-1]}',
                f'{host}{prefix} is the place of {", ".join(names[:-1])} too',
            )
