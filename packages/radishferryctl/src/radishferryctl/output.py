"""Print the results of commands."""

from __future__ import annotations

import json


def print_json(value):
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_rows(rows, empty):
    """Print a list of objects as a table.

    :param rows: List of mappings, whose keys become the columns. Values of
        other types are printed one a line after the table.
    :param empty: Text that is printed if there are no rows.
    """
    objects = [row for row in rows if isinstance(row, dict)]
    other_values = [row for row in rows if not isinstance(row, dict)]
    columns = list(dict.fromkeys(name for row in objects for name in row))
    if columns:
        lines = [columns]
        lines += [
            [_format_value(row.get(c)) for c in columns] for row in objects
        ]
        widths = [
            max(len(line[i]) for line in lines) for i in range(len(columns))
        ]
        for line in lines:
            cells = (cell.ljust(width) for cell, width in zip(line, widths))
            print('  '.join(cells).rstrip())
    for line in other_values:
        print(_format_value(line))
    if not rows:
        print(empty)


def print_list(found, is_json, empty):
    """Print a list as JSON or as a table.

    :param empty: Text that is printed in place of an empty table.
    """
    if is_json:
        print_json(found)
    else:
        print_rows(found, empty)


def print_fields(value):
    """Print an object, one field a line."""
    for name, item in value.items():
        print(f'{name}: {_format_value(item)}')


def _format_value(value):
    if value is None:
        return '-'
    if isinstance(value, str):
        # Control characters could change what the terminal shows.
        return ''.join(c if c.isprintable() else '?' for c in value)
    return json.dumps(value)
