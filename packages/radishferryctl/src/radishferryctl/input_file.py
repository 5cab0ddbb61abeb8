"""Read input files and report the findings in them."""

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


def invalid_file_error(file, found) -> errors.CommandError:
    """Return the error for a file that has findings."""
    return errors.CommandError(
        ExitCode.BAD_INPUT,
        format_findings(f'{file} is not valid:', found),
        'correct the named places',
    )


def format_findings(heading, found) -> str:
    """Return a heading and the findings, each on a line of its own."""
    return '\n'.join([heading, *(f'  {finding}' for finding in found)])


def findings_to_json(found) -> list[dict]:
    """Return the findings as a list of JSON objects."""
    return [{'place': f.place, 'message': f.message} for f in found]
