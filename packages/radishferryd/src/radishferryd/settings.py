"""Declare and read the settings of the process."""

from __future__ import annotations

import configparser
import dataclasses
import ipaddress
import typing

from radishferry import findings
from radishferryd import setting_readers

#: Log levels.
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
#: Log formats.
LOG_FORMATS = ('key-value', 'json')


@dataclasses.dataclass(frozen=True)
class Option:
    """Declare an option of the settings file.

    :ivar section: Section of the INI file.
    :ivar name: Name within the section.
    :ivar type_name: Type as shown to operators.
    :ivar read: Converts the text to the value; raises :class:`ValueError`
        with a message that states what is expected.
    :ivar description: One sentence for the reference page.
    :ivar default: Text used for a missing option, None when it is required.
    """

    section: str
    name: str
    type_name: str
    read: typing.Callable[[str], typing.Any]
    description: str
    default: str | None = None

    @property
    def attribute(self) -> str:
        """Return the name of the corresponding :class:`Settings` attribute."""
        return f'{self.section}_{self.name}'


@dataclasses.dataclass(frozen=True)
class Settings:
    """Hold the settings; attributes are named ``<section>_<option>``.

    Addresses are pairs of IP and port.
    """

    host_name: str
    host_data_centre: str
    listen_callers: tuple[str, int]
    listen_peers: tuple[str, int]
    listen_admin: tuple[str, int]
    platform_address: tuple[str, int]
    peers_shared_key: str = dataclasses.field(repr=False)
    admin_token: str = dataclasses.field(repr=False)
    platform_timeout_ms: int = 1000
    admin_allow_remote: bool = False
    log_level: str = 'info'
    log_format: str = 'key-value'


#: Every option that a settings file may hold.
OPTIONS = (
    Option(
        'host',
        'name',
        'name',
        setting_readers.read_name,
        'Name of this host in the host list of the platform.',
    ),
    Option(
        'host',
        'data_centre',
        'name',
        setting_readers.read_name,
        'Where this host is.',
    ),
    Option(
        'listen',
        'callers',
        'ip:port',
        setting_readers.read_address,
        'Listens for callers.',
    ),
    Option(
        'listen',
        'peers',
        'ip:port',
        setting_readers.read_address,
        'Listens for other hosts.',
    ),
    Option(
        'listen',
        'admin',
        'ip:port',
        setting_readers.read_address,
        'Listens for administration and metrics; a loopback address unless '
        '``allow_remote`` is set.',
        '127.0.0.1:7903',
    ),
    Option(
        'platform',
        'address',
        'ip:port',
        setting_readers.read_address,
        'Table service, object store and host list.',
    ),
    Option(
        'platform',
        'timeout_ms',
        'integer',
        setting_readers.read_milliseconds,
        'Milliseconds after which a request to the platform has failed.',
        '1000',
    ),
    Option(
        'peers',
        'shared_key',
        'secret',
        setting_readers.read_secret,
        'Authenticates hosts to each other; the same on all hosts.',
    ),
    Option(
        'admin',
        'token',
        'secret',
        setting_readers.read_secret,
        'Authenticates operators to the administration listener.',
    ),
    Option(
        'admin',
        'allow_remote',
        'yes or no',
        setting_readers.read_yes_no,
        'Whether the administration listener may have an address other than '
        'loopback. It does not encrypt, so the token can be read on the '
        'network.',
        'no',
    ),
    Option(
        'log',
        'level',
        'level',
        setting_readers.one_of(*LOG_LEVELS),
        'Least level of log lines: ``debug``, ``info``, ``warning`` or '
        '``error``.',
        'info',
    ),
    Option(
        'log',
        'format',
        'format',
        setting_readers.one_of(*LOG_FORMATS),
        'Format of log lines on standard error: ``key-value`` or ``json``.',
        'key-value',
    ),
)


def load(path) -> Settings:
    """Return the settings of an INI file.

    :param path: Path of the file.
    :raises findings.FindingsError: The file cannot be read or is not valid;
        the error holds every finding with file, section and option.
    """
    return load_options(path, OPTIONS, Settings, _check_listen_addresses)


def load_options(path, options, settings_class, check=None):
    """Return the settings of an INI file with the given options.

    :param path: Path of the file.
    :param options: Every :class:`Option` that the file may hold.
    :param settings_class: Called with the values as keyword arguments.
    :param check: Called with path and values; yields findings that concern
        several options.
    :raises findings.FindingsError: The file cannot be read or is not valid.
    """
    parser = _parse(path)
    found = _find_unknown(path, parser, options)
    values = {}
    for option in options:
        place = f'{path}: [{option.section}] {option.name}'
        text = parser.get(option.section, option.name, fallback=None)
        text = option.default if text is None else text
        if text is None:
            found.append(findings.Finding(place, 'missing'))
            continue
        try:
            values[option.attribute] = option.read(text)
        except ValueError as exc:
            message = str(exc) + _describe_value(option, text)
            found.append(findings.Finding(place, message))
    if check is not None:
        found.extend(check(path, values))
    if found:
        raise findings.FindingsError(found)
    return settings_class(**values)


def _describe_value(option, text):
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
        raise _error(f'{path}: byte {exc.start}', 'expected UTF-8') from exc
    except configparser.DuplicateOptionError as exc:
        place = f'{path}: [{exc.section}] {exc.option}'
        raise _error(place, f'duplicate option in line {exc.lineno}') from exc
    except configparser.DuplicateSectionError as exc:
        place = f'{path}: [{exc.section}]'
        raise _error(place, f'duplicate section in line {exc.lineno}') from exc
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


def _find_unknown(path, parser, options):
    found = []
    names = {}
    for option in options:
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


def _check_listen_addresses(path, values):
    admin = values.get('listen_admin')
    if admin and not values.get('admin_allow_remote'):
        if not ipaddress.IPv4Address(admin[0]).is_loopback:
            yield findings.Finding(
                f'{path}: [listen] admin',
                'expected a loopback address, or [admin] allow_remote = yes, '
                f'found "{admin[0]}"',
            )
    first_names = {}
    for name in ('callers', 'peers', 'admin'):
        address = values.get(f'listen_{name}')
        first = first_names.setdefault(address, name)
        if address and first != name:
            yield findings.Finding(
                f'{path}: [listen] {name}',
                f'"{address[0]}:{address[1]}" is already used by {first}',
            )
