"""Check single values of a document.

Each check takes a value and returns what is expected when the value is not
valid, else None.  ``integer``, ``one_of`` and ``list_of`` return a check.
"""

from __future__ import annotations

import re

# Names become parts of the row names of the table, so they contain no slash.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_OCTET = r'(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_IPV4 = re.compile(rf'{_OCTET}(?:\.{_OCTET}){{3}}')
_CALLER = re.compile(r'[\x21-\x7e]{1,128}')


def is_integer(value) -> bool:
    """Return whether a JSON value is an integer; a boolean is not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value) -> bool:
    """Return whether a JSON value is a number."""
    return is_integer(value) or isinstance(value, float)


def check_address(value) -> str | None:
    """Check a numeric IPv4 address with a port.

    :returns: What is expected when the value is not valid, else None.
    """
    expected = 'expected a numeric IPv4 address and a port, as 10.0.0.1:8080'
    if not isinstance(value, str):
        return expected
    ip, _, port = value.rpartition(':')
    if not _IPV4.fullmatch(ip):
        return expected
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_port or not 1 <= int(port) <= 65535:
        return 'expected a port from 1 to 65535 after the address'
    return None


def integer(low, high):
    def check(value):
        if is_integer(value) and low <= value <= high:
            return None
        return f'expected an integer from {low} to {high}'

    return check


def check_boolean(value):
    return None if isinstance(value, bool) else 'expected true or false'


def one_of(*values):
    def check(value):
        if isinstance(value, str) and value in values:
            return None
        return 'expected one of {}'.format(', '.join(values))

    return check


def check_name(value) -> str | None:
    """Check the name of a service, kind, server or data centre.

    :returns: What is expected when the value is not valid, else None.
    """
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        'expected 1 to 63 letters, digits, ".", "_" or "-", '
        'beginning with a letter or digit'
    )


def check_caller(value):
    if isinstance(value, str) and _CALLER.fullmatch(value):
        return None
    return 'expected 1 to 128 printable ASCII characters without spaces'


def check_share(value):
    if is_number(value) and 0 < value <= 1:
        return None
    return 'expected a number above 0 and at most 1'


# An isolated coordinator stops 2 s before the period ends, so a period near
# 2 s would stop it at the first short outage.
_MIN_LOST_AFTER_S = 5
_MAX_LOST_AFTER_S = 86400


def check_lost_after(value):
    if value is None:
        return None
    low, high = _MIN_LOST_AFTER_S, _MAX_LOST_AFTER_S
    if is_number(value) and low <= value <= high:
        return None
    return f'expected null or a number of seconds from {low} to {high}'


def check_text(value):
    return None if isinstance(value, str) else 'expected a string'


def list_of(low, high):
    def check(value):
        if isinstance(value, list) and low <= len(value) <= high:
            return None
        return f'expected a list of {low} to {high} objects'

    return check
