"""Match request paths against the path templates of a manifest."""

from __future__ import annotations

import dataclasses
import re
import typing
import urllib.parse

if typing.TYPE_CHECKING:
    from radishferry import manifest

#: Name of the template parameter that is the key.
KEY = 'key'

_LITERAL = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]+")
_PARAMETER = re.compile(r'\{([A-Za-z_][A-Za-z0-9_]*)(\.\.\.)?\}')
# Servers may resolve these segments and then run another kind of request.
_DOT_SEGMENTS = ('.', '..')


class TemplateError(ValueError):
    """Report a path template that is not valid."""


@dataclasses.dataclass(frozen=True)
class Segment:
    """Represent one segment of a path template.

    :ivar text: Literal text, or the name of the parameter.
    :ivar is_parameter: Whether it matches any text.
    :ivar is_rest: Whether it matches one or more segments up to the end.
    """

    text: str
    is_parameter: bool = False
    is_rest: bool = False


@dataclasses.dataclass(frozen=True)
class Match:
    """Describe the service, kind and key of a request.

    :ivar service: The :class:`~radishferry.manifest.Service`.
    :ivar kind: The :class:`~radishferry.manifest.RequestKind`.
    :ivar key: Decoded key; empty when the path has an empty segment in the
        place of the key, None when the template has no ``{key}``.
    """

    service: manifest.Service
    kind: manifest.RequestKind
    key: str | None


def parse_template(template) -> tuple[Segment, ...]:
    """Return the segments of a path template.

    :raises TemplateError: The template is not valid; the message says why.
    """
    if not template.startswith('/'):
        raise TemplateError('expected a path that begins with "/"')
    if template == '/':
        return ()
    segments = tuple(_segment(text) for text in template[1:].split('/'))
    if any(segment.is_rest for segment in segments[:-1]):
        raise TemplateError('expected "{name...}" only at the end')
    names = [s.text for s in segments if s.is_parameter]
    if len(names) != len(set(names)):
        raise TemplateError('expected each parameter name only once')
    if segments[-1].is_rest and segments[-1].text == KEY:
        raise TemplateError('expected "{key}" to take one segment')
    return segments


def may_overlap(first, second) -> bool:
    """Return whether some path matches both templates.

    :param first: Segments from :func:`parse_template`.
    :param second: Segments from :func:`parse_template`.
    """
    for a, b in zip(first, second):
        if a.is_rest or b.is_rest:
            return True
        if not (a.is_parameter or b.is_parameter or a.text == b.text):
            return False
    return len(first) == len(second)


class PathMatcher:
    """Find the request kind of a method and path."""

    def __init__(self, manifest):
        """Build the segment trees, one for each method.

        :param manifest: A checked :class:`~radishferry.manifest.Manifest`.
        :raises TemplateError: A path template is not valid.
        """
        self._roots = {}
        for service in manifest.services:
            for kind in service.kinds:
                root = self._roots.setdefault(kind.method, _Node())
                root.insert(service, kind)

    def match(self, method, path) -> Match | None:
        """Return the match of a request, or None when no template matches.

        Paths with non-ASCII bytes, percent-escapes that are not UTF-8, or dot
        segments match no template: servers may interpret them as another
        path, and thereby as another key.

        :param method: HTTP method.
        :param path: Request target, still percent-encoded; a query is
            ignored.
        """
        root = self._roots.get(method)
        if root is None:
            return None
        path = path.partition('?')[0]
        if not path.startswith('/') or not path.isascii():
            return None
        segments = _split(path)
        if segments is None:
            return None
        found = root.find(segments, 0)
        if found is None:
            return None
        service, kind, key_index = found
        key = None if key_index is None else segments[key_index]
        return Match(service, kind, key)


class _Node:
    """Represent a position in the segment tree of one method."""

    __slots__ = ('literals', 'parameter', 'accepts_key', 'leaf', 'rest')

    def __init__(self):
        self.literals = {}
        self.parameter = None
        self.accepts_key = False
        self.leaf = None
        self.rest = None

    def insert(self, service, kind):
        segments = parse_template(kind.path)
        names = [s.text if s.is_parameter else None for s in segments]
        key_index = names.index(KEY) if KEY in names else None
        leaf = (service, kind, key_index)
        node = self
        for segment in segments:
            if segment.is_rest:
                node.rest = leaf
                return
            node = node.child(segment)
        node.leaf = leaf

    def child(self, segment):
        if not segment.is_parameter:
            return self.literals.setdefault(segment.text, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        self.accepts_key = self.accepts_key or segment.text == KEY
        return self.parameter

    def find(self, segments, index):
        if index == len(segments):
            return self.leaf
        text = segments[index]
        node = self.literals.get(text)
        found = node.find(segments, index + 1) if node else None
        # Only a key may be empty, so that a missing key can be reported.
        if found is None and self.parameter and (text or self.accepts_key):
            found = self.parameter.find(segments, index + 1)
        return self.rest if found is None else found


def _segment(text):
    if _LITERAL.fullmatch(text) and text not in _DOT_SEGMENTS:
        return Segment(text)
    parameter = _PARAMETER.fullmatch(text)
    if parameter:
        return Segment(parameter[1], True, parameter[2] is not None)
    raise TemplateError(
        f'segment "{text}" is neither literal text nor "{{name}}"'
    )


def _split(path):
    segments = path[1:].split('/') if path != '/' else []
    if '%' in path:
        try:
            segments = [
                urllib.parse.unquote(s, errors='strict') for s in segments
            ]
        except UnicodeDecodeError:
            return None
    if any(dots in segments for dots in _DOT_SEGMENTS):
        return None
    return segments
