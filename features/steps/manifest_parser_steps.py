"""Steps for parsing and comparing manifests."""

from __future__ import annotations

import ast
import copy
import json

import behave
import hypothesis
from hypothesis import strategies

from features.steps import manifest_fixtures
from radishferry import findings
from radishferry import manifest
from radishferry import manifest_diff
from radishferry import manifest_parser


@behave.given('the manifest document of two services')
def document(context):
    context.document = manifest_fixtures.document()
    context.manifest_bytes = None


@behave.given('the manifest lacks "{place}"')
def missing(context, place):
    manifest_fixtures.remove_at(context.document, place)


@behave.given('the manifest has "{place}" as {value}')
def value_is(context, place, value):
    manifest_fixtures.set_at(context.document, place, json.loads(value))


@behave.given(
    'manifest service {index:d} has {count:d} servers without a name'
)
def nameless_servers(context, index, count):
    context.document['services'][index]['servers'] = [
        {'address': f'10.0.{i // 256}.{i % 256}:80', 'data_centre': 'a'}
        for i in range(count)
    ]


@behave.given('the manifest bytes {expression}')
def manifest_bytes(context, expression):
    literal, _, times = expression.partition(' * ')
    context.manifest_bytes = ast.literal_eval(literal) * int(times or 1)


@behave.when('the manifest is parsed')
def parse(context):
    context.manifest, context.found = None, ()
    text = context.manifest_bytes
    if text is None:
        text = json.dumps(context.document).encode()
    try:
        context.manifest = manifest_parser.parse(text)
    except findings.FindingsError as exc:
        context.found = exc.findings


@behave.then('the parsed manifest has version {version:d} and {n:d} services')
def parsed(context, version, n):
    assert context.manifest is not None, context.found
    assert context.manifest.version == version
    assert len(context.manifest.services) == n


@behave.then('service "{name}" of it has {ranges:d} ranges and kind "{kind}"')
def service_has(context, name, ranges, kind):
    service = context.manifest.service(name)
    assert service.ranges == ranges
    assert service.kind(kind).deadline_ms == manifest.DEFAULT_DEADLINE_MS


@behave.then('the only finding is at "{place}" and says "{message}"')
def only_finding(context, place, message):
    findings_at(context, place)
    assert message in context.found[0].message, context.found


@behave.then('findings are at "{places}"')
def findings_at(context, places):
    found = [finding.place for finding in context.found]
    assert sorted(found) == sorted(places.split(', ')), context.found


@behave.then(
    '{count:d} manifest findings are reported, the last for {more:d} more'
)
def bounded(context, count, more):
    assert len(context.found) == count
    assert str(more) in context.found[-1].message


@behave.then('every JSON value is either parsed or refused with findings')
def fuzz(context):
    scalars = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=8),
    )
    places = strategies.sampled_from(sorted(_places('', _any_document())))
    values = strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=5), inner, max_size=3
            )
        ),
        max_leaves=6,
    )

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategies.lists(strategies.tuples(places, values)))
    def check(changes):
        changed = _any_document()
        for place, value in changes:
            try:
                manifest_fixtures.set_at(changed, place, value)
            except (KeyError, IndexError, TypeError):
                # An earlier change replaced the parent of this place.
                continue
        _parse_or_refuse(changed)
        for _, value in changes:
            _parse_or_refuse(value)

    check()


def _any_document():
    return manifest_fixtures.document()


def _places(prefix, value):
    if isinstance(value, dict):
        for name, item in value.items():
            place = f'{prefix}.{name}' if prefix else name
            yield place
            yield from _places(place, item)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield f'{prefix}[{index}]'
            yield from _places(f'{prefix}[{index}]', item)


def _parse_or_refuse(value):
    try:
        parsed = manifest_parser.parse(json.dumps(value).encode())
    except findings.FindingsError as exc:
        assert exc.findings
        assert all(f.place and f.message for f in exc.findings)
    else:
        assert isinstance(parsed, manifest.Manifest)


@behave.given('the same manifest with changes')
def changed_document(context):
    changed = copy.deepcopy(context.document)
    for row in context.table:
        value = json.loads(row['value'])
        manifest_fixtures.set_at(changed, row['place'], value)
    context.old = manifest_parser.parse(json.dumps(context.document).encode())
    context.new = manifest_parser.parse(json.dumps(changed).encode())


@behave.then('the manifest changes are')
def changes_are(context):
    changes = manifest_diff.diff(context.old, context.new)
    found = sorted((change.place, change.text) for change in changes)
    expected = sorted((row['place'], row['text']) for row in context.table)
    assert found == expected, found


@behave.then('the manifest transition is refused at "{place}"')
def transition_refused(context, place):
    found = manifest_diff.transition_findings(context.old, context.new)
    assert [finding.place for finding in found] == [place], found
