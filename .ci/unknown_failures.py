"""Check that only known scenarios failed.

Takes the output of behave and the list of known failures, whose entries
begin with ``scenario: NAME``. Exits with 1 if another scenario failed, or if
behave failed without naming a scenario.
"""

import re
import sys

_FAILED = re.compile(r'^  (features/\S+:\d+)  (.+?)\s*$')
_KNOWN = 'scenario: '


def main(log_path, known_path):
    """Print the failed scenarios and return the exit code."""
    with open(known_path, encoding='utf-8') as file:
        known = {
            line[len(_KNOWN) :].strip()
            for line in file
            if line.startswith(_KNOWN)
        }
    with open(log_path, encoding='utf-8', errors='replace') as file:
        failed = _failed(file)
    unknown = [found for found in failed if found[1] not in known]
    for place, name in failed:
        word = 'known' if name in known else 'NOT known'
        print(f'ci: {place} failed, {word}: {name}')
    if not failed:
        print('ci: behave failed without naming a scenario')
    return 1 if unknown or not failed else 0


def _failed(lines):
    """Return location and name of each scenario that failed or errored."""
    found = []
    is_listed = False
    for line in lines:
        if line.startswith(('Failing scenarios:', 'Errored scenarios:')):
            is_listed = True
        elif is_listed and (match := _FAILED.match(line)):
            found.append(match.groups())
        elif line.strip():
            is_listed = False
    return found


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
