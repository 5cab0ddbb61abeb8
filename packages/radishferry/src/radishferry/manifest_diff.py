"""Compare two manifests."""

from __future__ import annotations

import dataclasses
import json

from radishferry import findings


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe one difference.

    :ivar place: Path of names, such as
        ``inventory.servers.inv-1.address``.
    :ivar text: What changed, such as ``6 -> 3``, ``added`` or ``removed``.
    """

    place: str
    text: str

    def __str__(self):
        return f'{self.place}: {self.text}'


def diff(old, new) -> list[Change]:
    """Return the differences between two manifests.

    :param old: A :class:`~radishferry.manifest.Manifest`, or None when there
        is none yet.
    :param new: The manifest to compare with it.
    """
    changes = []
    if old is None or old.version != new.version:
        before = 'none' if old is None else old.version
        changes.append(Change('version', f'{before} -> {new.version}'))
    old_services = () if old is None else old.services
    changes.extend(_item_changes('', old_services, new.services, 'name'))
    return changes


def transition_findings(old, new) -> list[findings.Finding]:
    """Return the findings that prevent one manifest from replacing another.

    :param old: The manifest in force, or None.
    :param new: The manifest that is to replace it.
    """
    if old is None:
        return []
    found = []
    if new.version <= old.version:
        message = f'expected more than the version in force, {old.version}'
        found.append(findings.Finding('version', message))
    old_servers = _servers(old)
    for i, service in enumerate(new.services):
        found.extend(
            _check_fixed_fields(i, old.service(service.name), service)
        )
        for j, server in enumerate(service.servers):
            place = f'services[{i}].servers[{j}]'
            before = old_servers.get(server.name)
            found.extend(
                _check_identity(place, before, (service.name, server))
            )
    return found


def _servers(manifest):
    return {
        server.name: (service.name, server)
        for service in manifest.services
        for server in service.servers
    }


def _check_fixed_fields(index, old, new):
    if old is None:
        return
    # Either change maps keys to other ranges while some hosts still route by
    # the old mapping, so a key could have two owners.
    for name in ('ranges', 'keyed'):
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            yield findings.Finding(
                f'services[{index}].{name}',
                f'cannot change from {json.dumps(before)} to '
                f'{json.dumps(after)}; declare a service with a new name',
            )


def _check_identity(place, before, after):
    if before is None:
        return
    (old_service, old), (new_service, new) = before, after
    # The process at the old address may still hold a lease under this name,
    # so a server must not move.
    for name, a, b in (
        ('name', old_service, new_service),
        ('address', old.address, new.address),
        ('data_centre', old.data_centre, new.data_centre),
    ):
        if a != b:
            yield findings.Finding(
                f'{place}.{name}',
                f'server "{new.name}" cannot move from "{a}" to "{b}"; '
                'add a server with a new name and remove this one',
            )


def _item_changes(prefix, old, new, id_attribute):
    old_items = {getattr(item, id_attribute): item for item in old}
    new_items = {getattr(item, id_attribute): item for item in new}
    for name in old_items.keys() - new_items.keys():
        yield Change(f'{prefix}{name}', 'removed')
    for name, item in new_items.items():
        place = f'{prefix}{name}'
        if name not in old_items:
            yield Change(place, 'added')
        else:
            yield from _field_changes(place, old_items[name], item)


def _field_changes(place, old, new):
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        at = f'{place}.{field.name}'
        if isinstance(after, tuple):
            id_attribute = 'caller' if field.name == 'reservations' else 'name'
            yield from _item_changes(f'{at}.', before, after, id_attribute)
        else:
            yield Change(at, f'{json.dumps(before)} -> {json.dumps(after)}')
