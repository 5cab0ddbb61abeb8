"""Build and change manifest documents."""

from __future__ import annotations

import copy
import re

_DOCUMENT = {
    'version': 3,
    'services': [
        {
            'name': 'inventory',
            'keyed': True,
            'servers': [
                {
                    'name': 'inventory-1',
                    'address': '127.0.0.1:9001',
                    'data_centre': 'a',
                },
                {
                    'name': 'inventory-2',
                    'address': '127.0.0.1:9002',
                    'data_centre': 'b',
                },
            ],
            'kinds': [
                {
                    'name': 'lookup',
                    'method': 'GET',
                    'path': '/lots/{key}',
                    'idempotent': True,
                },
                {
                    'name': 'reserve',
                    'method': 'POST',
                    'path': '/lots/{key}/reservations/{id}',
                    'idempotent': False,
                },
            ],
            'reservations': [
                {'caller': 'web', 'share': 0.5},
                {'caller': 'batch', 'share': 0.2},
            ],
        },
        {
            'name': 'certificates',
            'keyed': False,
            'servers': [
                {
                    'name': 'certificates-1',
                    'address': '127.0.0.1:9003',
                    'data_centre': 'a',
                }
            ],
            'kinds': [
                {
                    'name': 'download',
                    'method': 'GET',
                    'path': '/certificates/{rest...}',
                    'idempotent': True,
                    'long': True,
                }
            ],
        },
    ],
}


def document():
    """Return a valid document."""
    return copy.deepcopy(_DOCUMENT)


def steps_of(place):
    """Return the names and indexes of a place."""
    found = re.findall(r'([^.\[\]]+)|\[(\d+)\]', place)
    return [name or int(index) for name, index in found]


def set_at(target, place, value):
    """Replace the value at a place."""
    *parents, last = steps_of(place)
    for step in parents:
        target = target[step]
    target[last] = value


def remove_at(target, place):
    """Remove the value at a place."""
    *parents, last = steps_of(place)
    for step in parents:
        target = target[step]
    del target[last]
