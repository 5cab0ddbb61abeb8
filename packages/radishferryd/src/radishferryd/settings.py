"""Declare and read the settings of the process."""

from __future__ import annotations

import configparser
import dataclasses
import ipaddress
import typing

from radishferry import findings
from radishferry import manifest_fields

#: Fewer characters than this can be guessed.
MIN_SECRET_CHARACTERS = 16
#: Levels of log lines.
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
#: Formats of log lines.
LOG_FORMATS = ('key-value', 'json')

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Option:
    """Declare one option.

    :ivar section: Section of the INI file.
    :ivar name: Name within the section.
    :ivar type_name: Type as it is shown to operators.
    :ivar read: Turns the text into the value; raises :class:`ValueError`
        with what is expected.
    :ivar description: One sentence for the reference page.
    :ivar default: Text of a missing option, None when it has to be given.
    """

    section: str
    name: str
    type_name: str
    read: typing.Callable[[str], typing.Any]
    description: str
    default: str | None = None

    @property
    def attribute(self) -> str:
        """Return the name of the attribute of :class:`Settings`."""
        return f'{self.section}_{self.name}'


@dataclasses.dataclass(frozen=True)
class Settings:
    """Hold the settings; attributes are named ``<section>_<option>``.

    Addresses are pairs of IP and port.
    """

    host_name: str
    host_data_centre: str
    listen_callers: Address
    listen_peers: Address
    listen_admin: Address
    platform_address: Address
    peers_shared_key: str = dataclasses.field(repr=False)
    admin_token: str = dataclasses.field(repr=False)
    platform_timeout_ms: int = 1000
    admin_allow_remote: bool = False
    log_level: str = 'info'
    log_format: str = 'key-value'


def _name(text):
    problem = manifest_fields.check_name(text)
    if problem:
        raise ValueError(problem)
    return text


def _address(text):
    problem = manifest_fields.check_address(text)
    if problem:
        raise ValueError(problem)
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def _secret(text):
    if len(text) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f'expected at least {MIN_SECRET_CHARACTERS} characters'
        )
    # Tokens travel in a header, where other characters are ambiguous.
    if not all('!' <= character <= '~' for character in text):
        raise ValueError('expected printable ASCII characters without spaces')
    return text


def _milliseconds(text):
    is_integer = text.isascii() and text.isdigit() and len(text) <= 6
    if not is_integer or not 10 <= int(text) <= 60000:
        raise ValueError('expected an integer from 10 to 60000')
    return int(text)


def _boolean(text):
    if text not in ('yes', 'no'):
        raise ValueError('expected yes or no')
    return text == 'yes'


def _one_of(*values):
    def read(text):
        if text not in values:
            raise ValueError('expected one of {}'.format(', '.join(values)))
        return text

    return read


#: Every option that a settings file may hold.
OPTIONS = (
    Option(
        'host',
        'name',
        'name',
        _name,
        'Name of this host in the host list of the platform.',
    ),
    Option('host', 'data_centre', 'name', _name, 'Where this host is.'),
    Option('listen', 'callers', 'ip:port', _address, 'Listens for callers.'),
    Option('listen', 'peers', 'ip:port', _address, 'Listens for other hosts.'),
    Option(
        'listen',
        'admin',
        'ip:port',
        _address,
        'Listens for administration and metrics; a loopback address unless '
        '``allow_remote`` is set.',
        '127.0.0.1:7903',
    ),
    Option(
        'platform',
        'address',
        'ip:port',
        _address,
        'Table service, object store and host list.',
    ),
    Option(
        'platform',
        'timeout_ms',
        'integer',
        _milliseconds,
        'Milliseconds after which a request to the platform has failed.',
        '1000',
    ),
    Option(
        'peers',
        'shared_key',
        'secret',
        _secret,
        'Authenticates hosts to each other; the same on all hosts.',
    ),
    Option(
        'admin',
        'token',
        'secret',
        _secret,
        'Authenticates operators to the administration listener.',
    ),
    Option(
        'admin',
        'allow_remote',
        'yes or no',
        _boolean,
        'Whether the administration listener may have an address other than '
        'loopback. It does not encrypt, so the token can be read on the '
        'network.',
        'no',
    ),
    Option(
        'log',
        'level',
        'level',
        _one_of(*LOG_LEVELS),
        'Least level of log lines: ``debug``, ``info``, ``warning`` or '
        '``error``.',
        'info',
    ),
    Option(
        'log',
        'format',
        'format',
        _one_of(*LOG_FORMATS),
        'Format of log lines on standard error: ``key-value`` or ``json``.',
        'key-value',
    ),
)


def load(path) -> Settings:
    """Return the settings of an INI file.

    :param path: Path of the file.
    :raises findings.FindingsError: The file cannot be read or is not valid;
        it holds every finding with file, section and option.
    """
    parser = _parse(path)
    found = _unknown(path, parser)
    values = {}
    for option in OPTIONS:
        place = f'{path}: [{option.section}] {option.name}'
        text = parser.get(option.section, option.name, fallback=None)
        text = option.default if text is None else text
        if text is None:
            found.append(findings.Finding(place, 'missing'))
            continue
        try:
            values[option.attribute] = option.read(text)
        except ValueError as exc:
            message = str(exc) + _given(option, text)
            found.append(findings.Finding(place, message))
    found.extend(_between(path, values))
    if found:
        raise findings.FindingsError(found)
    return Settings(**values)


def _given(option, text):
    # Secrets must not appear in logs.
    if option.type_name == 'secret':
        return ''
    shown = text if len(text) <= 60 else text[:57] + '...'
    return f', found "{shown}"'


def _parse(path):
    # No section is special: a [DEFAULT] section is reported as unknown.
    parser = configparser.ConfigParser(
        interpolation=None, default_section='', empty_lines_in_values=False
    )
    parser.optionxform = str
    try:
        with open(path, encoding='utf-8') as file:
            parser.read_file(file)
    except OSError as exc:
        raise _error(path, f'cannot be read: {exc.strerror}') from exc
    except UnicodeDecodeError as exc:
        raise _error(path, f'byte {exc.start} is not UTF-8') from exc
    except configparser.DuplicateOptionError as exc:
        place = f'{path}: [{exc.section}] {exc.option}'
        raise _error(place, f'given again in line {exc.lineno}') from exc
    except configparser.DuplicateSectionError as exc:
        place = f'{path}: [{exc.section}]'
        raise _error(place, f'begins again in line {exc.lineno}') from exc
    except configparser.MissingSectionHeaderError as exc:
        place = f'{path}: line {exc.lineno}'
        raise _error(place, 'expected a section before the option') from exc
    except configparser.ParsingError as exc:
        message = 'expected "[section]" or "option = value"'
        raise findings.FindingsError(
            findings.Finding(f'{path}: line {line}', message)
            for line, _ in exc.errors
        ) from exc
    return parser


def _error(place, message):
    return findings.FindingsError([findings.Finding(str(place), message)])


def _unknown(path, parser):
    found = []
    names = {}
    for option in OPTIONS:
        names.setdefault(option.section, []).append(option.name)
    for section in parser.sections():
        place = f'{path}: [{section}]'
        if section not in names:
            known = ', '.join(names)
            message = f'unknown section; expected one of {known}'
            found.append(findings.Finding(place, message))
            continue
        for name in parser[section]:
            if name not in names[section]:
                known = ', '.join(names[section])
                message = f'unknown option; expected one of {known}'
                found.append(findings.Finding(f'{place} {name}', message))
    return found


def _between(path, values):
    admin = values.get('listen_admin')
    if admin and not values.get('admin_allow_remote'):
        if not ipaddress.IPv4Address(admin[0]).is_loopback:
            yield findings.Finding(
                f'{path}: [listen] admin',
                'expected a loopback address, or [admin] allow_remote = yes, '
                f'found "{admin[0]}"',
            )
    first_places = {}
    for name in ('callers', 'peers', 'admin'):
        address = values.get(f'listen_{name}')
        first = first_places.setdefault(address, name)
        if address and first != name:
            yield findings.Finding(
                f'{path}: [listen] {name}',
                f'"{address[0]}:{address[1]}" is already used by {first}',
            )
