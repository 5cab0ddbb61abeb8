"""Build and modify manifest documents."""

from __future__ import annotations

import json
import re

_DOCUMENT = """
{"version": 3, "services": [
  {"name": "inventory", "keyed": true,
   "servers": [
     {"name": "inventory-1", "address": "127.0.0.1:9001", "data_centre": "a"},
     {"name": "inventory-2", "address": "127.0.0.1:9002", "data_centre": "b"}
   ],
   "kinds": [
     {"name": "lookup", "method": "GET", "path": "/lots/{key}",
      "idempotent": true},
     {"name": "reserve", "method": "POST",
      "path": "/lots/{key}/reservations/{id}", "idempotent": false}
   ],
   "reservations": [
     {"caller": "web", "share": 0.5}, {"caller": "batch", "share": 0.2}
   ]},
  {"name": "certificates", "keyed": false,
   "servers": [
     {"name": "certificates-1", "address": "127.0.0.1:9003",
      "data_centre": "a"}
   ],
   "kinds": [
     {"name": "download", "method": "GET", "path": "/certificates/{rest...}",
      "idempotent": true, "long": true}
   ]}
]}
"""


def document():
    """Return a valid document."""
    return json.loads(_DOCUMENT)


def parent_of(target, place):
    """Return the container of a place, and its name or index in it."""
    found = re.findall(r'([^.\[\]]+)|\[(\d+)\]', place)
    *parents, last = [name or int(index) for name, index in found]
    for name_or_index in parents:
        target = target[name_or_index]
    return target, last


def set_at(target, place, value):
    """Replace the value at a place."""
    parent, last = parent_of(target, place)
    parent[last] = value


def remove_at(target, place):
    """Remove the value at a place."""
    parent, last = parent_of(target, place)
    del parent[last]
