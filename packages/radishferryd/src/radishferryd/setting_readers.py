"""Convert the texts of settings to values.

Each reader returns the value, or raises :class:`ValueError` with a message
that states what is expected.
"""

from __future__ import annotations

import math

from radishferry import field_checks

#: Minimum length of a secret; shorter ones can be guessed.
MIN_SECRET_CHARACTERS = 16


def read_name(text):
    problem = field_checks.check_name(text)
    if problem:
        raise ValueError(problem)
    return text


def read_address(text):
    problem = field_checks.check_address(text)
    if problem:
        raise ValueError(problem)
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def read_secret(text):
    if len(text) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f'expected at least {MIN_SECRET_CHARACTERS} characters'
        )
    # Tokens are sent in a header, where other characters are ambiguous.
    if not all('!' <= character <= '~' for character in text):
        raise ValueError('expected printable ASCII characters without spaces')
    return text


def read_milliseconds(text):
    is_integer = text.isascii() and text.isdigit() and len(text) <= 6
    if not is_integer or not 10 <= int(text) <= 60000:
        raise ValueError('expected an integer from 10 to 60000')
    return int(text)


def read_number(text):
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise ValueError('expected a number that is not negative')
    return value


def read_count(text):
    if not (text.isascii() and text.isdigit() and 1 <= int(text) <= 100000):
        raise ValueError('expected an integer from 1 to 100000')
    return int(text)


def read_true_false(text):
    if text not in ('true', 'false'):
        raise ValueError('expected true or false')
    return text == 'true'


def read_yes_no(text):
    if text not in ('yes', 'no'):
        raise ValueError('expected yes or no')
    return text == 'yes'


def one_of(*values):
    def read(text):
        if text not in values:
            raise ValueError('expected one of {}'.format(', '.join(values)))
        return text

    return read
