"""Print results."""

from __future__ import annotations

import json


def print_json(value):
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_rows(rows, empty):
    """Print a list of objects as a table.

    :param rows: List of mappings; the keys of all rows become columns.
        Other values are printed as lines after the table.
    :param empty: What is printed when there are none.
    """
    objects = [row for row in rows if isinstance(row, dict)]
    rest = [row for row in rows if not isinstance(row, dict)]
    columns = list(dict.fromkeys(name for row in objects for name in row))
    if columns:
        lines = [columns]
        lines += [[_text(row.get(c)) for c in columns] for row in objects]
        widths = [
            max(len(line[i]) for line in lines) for i in range(len(columns))
        ]
        for line in lines:
            cells = (cell.ljust(width) for cell, width in zip(line, widths))
            print('  '.join(cells).rstrip())
    for line in rest:
        print(_text(line))
    if not rows:
        print(empty)


def print_list(found, is_json, empty):
    """Print a list as JSON or as a table.

    :param empty: What is printed instead of a table without rows.
    """
    if is_json:
        print_json(found)
    else:
        print_rows(found, empty)


def print_fields(value):
    """Print an object, one field a line."""
    for name, item in value.items():
        print(f'{name}: {_text(item)}')


def _text(value):
    if value is None:
        return '-'
    if isinstance(value, str):
        # Control characters could change what the terminal shows.
        return ''.join(c if c.isprintable() else '?' for c in value)
    return json.dumps(value)
