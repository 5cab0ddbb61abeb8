"""Read input files and tell what is wrong with them."""

from __future__ import annotations

from radishferryctl import errors

ExitCode = errors.ExitCode


def read(file) -> bytes:
    """Return the bytes of a file.

    :raises CommandError: The file cannot be read.
    """
    try:
        return file.read_bytes()
    except OSError as exc:
        raise errors.CommandError(
            ExitCode.BAD_INPUT, f'{file} cannot be read: {exc.strerror}'
        ) from exc


def invalid(file, found) -> errors.CommandError:
    """Return the error for a file with findings."""
    return errors.CommandError(
        ExitCode.BAD_INPUT,
        lines(f'{file} is not valid:', found),
        'correct the named places',
    )


def lines(first, found) -> str:
    """Return a text with one finding a line after the first."""
    return '\n'.join([first, *(f'  {finding}' for finding in found)])


def rows(found) -> list[dict]:
    """Return findings as values for JSON."""
    return [{'place': f.place, 'message': f.message} for f in found]
