"""Check that the fields of a manifest are consistent with each other."""

from __future__ import annotations

import itertools

from radishferry import findings
from radishferry import manifest_paths


def check(manifest) -> list[findings.Finding]:
    """Return findings about fields that are inconsistent with each other.

    :param manifest: A :class:`~radishferry.manifest.Manifest`, in which None
        replaces every part that is not valid by itself.
    """
    return [
        *_check_duplicates(manifest),
        *_check_connections(manifest),
        *_check_templates(manifest),
    ]


def _present(items):
    return [(i, item) for i, item in enumerate(items) if item is not None]


def _check_duplicates(manifest):
    services = _present(manifest.services)
    yield from _check_unique(
        (f'services[{i}].name', service.name) for i, service in services
    )
    for attribute in ('name', 'address'):
        yield from _check_unique(
            (f'services[{i}].servers[{j}].{attribute}', getattr(s, attribute))
            for i, service in services
            for j, s in _present(service.servers)
        )
    for i, service in services:
        yield from _check_unique(
            (f'services[{i}].kinds[{j}].name', kind.name)
            for j, kind in _present(service.kinds)
        )
        yield from _check_unique(
            (f'services[{i}].reservations[{j}].caller', r.caller)
            for j, r in _present(service.reservations)
        )


def _check_unique(values):
    first_places = {}
    for place, value in values:
        if value is None:
            continue
        first = first_places.setdefault(value, place)
        if first != place:
            yield findings.Finding(
                place, f'"{value}" is already used at {first}'
            )


def _check_connections(manifest):
    for i, service in _present(manifest.services):
        if service.slots is None or service.connections is None:
            continue
        if service.connections <= service.slots:
            yield findings.Finding(
                f'services[{i}].connections',
                f'expected more than slots ({service.slots}), '
                f'found {service.connections}',
            )


def _check_templates(manifest):
    templates = {}
    for i, service in _present(manifest.services):
        for j, kind in _present(service.kinds):
            if kind.path is None:
                continue
            place = f'services[{i}].kinds[{j}].path'
            try:
                segments = manifest_paths.parse_template(kind.path)
            except manifest_paths.TemplateError as exc:
                yield findings.Finding(place, str(exc))
                continue
            if service.keyed and not _has_key(segments):
                yield findings.Finding(
                    place, 'expected "{key}", since the service is keyed'
                )
            templates.setdefault(kind.method, []).append(
                (place, kind.path, segments)
            )
    # Kinds whose method is not valid.
    templates.pop(None, None)
    for method, entries in templates.items():
        yield from _check_overlaps(method, entries)


def _has_key(segments):
    return any(
        s.is_parameter and s.text == manifest_paths.KEY for s in segments
    )


def _check_overlaps(method, entries):
    for first, second in itertools.combinations(entries, 2):
        if manifest_paths.may_overlap(first[2], second[2]):
            yield findings.Finding(
                second[0],
                f'{method} "{second[1]}" can match the same path as '
                f'"{first[1]}" at {first[0]}',
            )
