"""Steps for matching paths."""

from __future__ import annotations

import itertools
import json
import urllib.parse

import behave
import hypothesis
from hypothesis import strategies

from features.steps import manifest_fixtures
from radishferry import manifest
from radishferry import manifest_parser
from radishferry import manifest_paths

_SETTINGS = hypothesis.settings(
    max_examples=500, deadline=None, derandomize=True, database=None
)
_SEGMENTS = ('a', 'b', '{key}', '{id}')
_TEMPLATES = strategies.builds(
    lambda segments, rest: '/' + '/'.join([*segments, *rest]),
    strategies.lists(
        strategies.sampled_from(_SEGMENTS),
        min_size=1,
        max_size=3,
        unique=True,
    ),
    strategies.sampled_from([(), (), ('{rest...}',)]),
)
# All paths of one to four segments, each a literal of the templates or one
# other text.
_PATHS = tuple(
    '/' + '/'.join(segments)
    for count in range(1, 5)
    for segments in itertools.product(('a', 'b', 'x'), repeat=count)
)


def _manifest(templates):
    kinds = tuple(
        manifest.RequestKind(template, 'GET', template, True)
        for template in templates
    )
    return manifest.Manifest(1, (manifest.Service('any', False, (), kinds),))


@behave.given('a path matcher for two services')
def matcher(context):
    document = json.dumps(manifest_fixtures.document()).encode()
    context.matcher = manifest_paths.PathMatcher(
        manifest_parser.parse(document)
    )


@behave.when('"{method}" "{path}" is matched')
def match(context, method, path):
    context.match = context.matcher.match(method, path)


@behave.then('the match is "{kind}" of "{service}" with key {key}')
def match_is(context, kind, service, key):
    found = context.match
    assert found is not None
    assert (found.kind.name, found.service.name) == (kind, service)
    assert found.key == json.loads(key), found.key


@behave.then('no template matches')
def no_match(context):
    assert context.match is None, context.match


@behave.then('every key is matched in a path that percent-encodes it')
def key_is_decoded(context):
    tree = manifest_paths.PathMatcher(_manifest(['/lots/{key}/x']))

    @_SETTINGS
    @hypothesis.given(strategies.text())
    def check(key):
        hypothesis.assume(key not in ('.', '..'))
        try:
            quoted = urllib.parse.quote(key, safe='')
        except UnicodeEncodeError:
            # Surrogates cannot be encoded in UTF-8.
            hypothesis.reject()
        found = tree.match('GET', f'/lots/{quoted}/x')
        assert found is not None
        assert found.key == key

    check()


@behave.then('two templates overlap exactly when some path matches both')
def overlap(context):
    @_SETTINGS
    @hypothesis.given(_TEMPLATES, _TEMPLATES)
    def check(first, second):
        segments = [manifest_paths.parse_template(t) for t in (first, second)]
        may_overlap = manifest_paths.may_overlap(*segments)
        assert may_overlap == manifest_paths.may_overlap(*segments[::-1])
        both = [
            path
            for path in _PATHS
            if _matches(first, path) and _matches(second, path)
        ]
        assert bool(both) == may_overlap, (first, second, both)

    check()


@behave.then('the matcher agrees with matching the templates one by one')
def agrees(context):
    @_SETTINGS
    @hypothesis.given(strategies.lists(_TEMPLATES, max_size=6, unique=True))
    def check(candidates):
        templates = []
        for candidate in candidates:
            segments = manifest_paths.parse_template(candidate)
            others = [manifest_paths.parse_template(t) for t in templates]
            overlaps = [
                manifest_paths.may_overlap(segments, other) for other in others
            ]
            if not any(overlaps):
                templates.append(candidate)
        tree = manifest_paths.PathMatcher(_manifest(templates))
        for path in _PATHS:
            found = tree.match('GET', path)
            expected = [t for t in templates if _matches(t, path)]
            assert [found.kind.path] == expected if found else not expected

    check()


def _matches(template, path):
    """Return whether a path matches, by the definition of the templates."""
    wanted, given = template[1:].split('/'), path[1:].split('/')
    if wanted[-1] == '{rest...}':
        if len(given) < len(wanted):
            return False
        wanted, given = wanted[:-1], given[: len(wanted) - 1]
    if len(wanted) != len(given):
        return False
    return all(w.startswith('{') or w == g for w, g in zip(wanted, given))
