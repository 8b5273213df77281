"""Tests of the parts without I/O: codecs, messages, handshakes, frames."""

import contextlib

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from jayseam.links import codecs
from jayseam.links import errors
from jayseam.links import frames
from jayseam.links import handshakes
from jayseam.links import messages

_instance_of = attrs.validators.instance_of


@messages.register(910)
@attrs.frozen
class Leaf:
    """A nested message."""

    text: str = attrs.field(validator=_instance_of(str))


@messages.register(911)
@attrs.frozen
class Tree:
    """A message with every kind of field."""

    leaves: list = attrs.field(validator=messages.list_of(Leaf))
    table: dict = attrs.field(validator=_instance_of(dict))


_keys = strategies.text().filter(lambda key: not key.startswith('$'))
_plain = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text()
    | strategies.binary(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(_keys, inner, max_size=3),
    max_leaves=10,
)


@pytest.mark.parametrize('codec', ['cbor', 'json'])
@hypothesis.given(
    texts=strategies.lists(strategies.text()),
    table=strategies.dictionaries(_keys, _plain),
)
def test_messages_survive_every_codec(codec, texts, table):
    """Encoding and decoding with any codec leaves a message unchanged."""
    codec = codecs.codecs.get(codec)
    message = Tree([Leaf(text) for text in texts], table)
    data = codec.encode(messages.encode_body(message, -3))
    assert messages.decode_body(codec.decode(data)) == (message, -3)


@pytest.mark.parametrize('codec', ['cbor', 'json'])
@hypothesis.given(data=strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_protocol_errors(codec, data):
    """Arbitrary bytes of a peer raise only errors that are handled."""
    with contextlib.suppress(errors.ProtocolError):
        messages.decode_body(codecs.codecs.get(codec).decode(data))


@pytest.mark.parametrize(
    'body',
    [
        [911, 0, [], {'$message': []}],
        [911, 0, [], {'$message': [910, 1]}],
        [911, 0, [], {'a': {'$message': [910, 'x'], 'b': 1}}],
        [911, 0, ['x'], {}],
        [911, 0, [], {1: 2}],
        [911, 0, [], {'a': {1, 2}}],
    ],
)
def test_malformed_nested_values(body):
    """Nested values are checked as strictly as fields."""
    with pytest.raises(errors.MessageError):
        messages.decode_body(body)


def test_registration_demands_frozen_validated_classes():
    """Registration rejects classes that are mutable or lack validators.

    A field without validator would accept any type.
    """
    with pytest.raises(TypeError, match='no validator'):
        messages.register(912)(attrs.make_class('Loose', ['a'], frozen=True))
    with pytest.raises(TypeError, match='not a frozen'):
        messages.register(912)(attrs.make_class('Mutable', []))
    with pytest.raises(ValueError, match='already'):
        messages.register(910)(attrs.make_class('Twice', [], frozen=True))
    for table in ({'a': object()}, {'$bytes': 'eA=='}, {1: 2}):
        with pytest.raises(TypeError):
            messages.encode_body(Tree([], table), 0)


def test_proof_is_bound_to_the_handshake():
    """A proof is invalid for another role, node, incarnation or nonce."""
    secret = 'shared secret'
    dialler = handshakes.create_hello(handshakes.Identity('a', 1), 'cbor')
    acceptor = handshakes.create_hello(handshakes.Identity('b', 1), 'cbor')
    transcript = handshakes.build_transcript(dialler, acceptor)
    proof = handshakes.create_proof(secret, handshakes.DIALLER, transcript)
    key = handshakes.derive_session_key(secret, transcript)
    others = [
        (attrs.evolve(dialler, identity=handshakes.Identity('c', 1)), acceptor),
        (attrs.evolve(dialler, identity=handshakes.Identity('a', 2)), acceptor),
        (attrs.evolve(dialler, nonce=bytes(16)), acceptor),
        (dialler, attrs.evolve(acceptor, nonce=bytes(16))),
        (dialler, attrs.evolve(acceptor, identity=dialler.identity)),
        (acceptor, dialler),
    ]
    for pair in others:
        with pytest.raises(errors.HandshakeError):
            other = handshakes.build_transcript(*pair)
            assert handshakes.derive_session_key(secret, other) != key
            handshakes.find_secret([secret], handshakes.DIALLER, other, [proof])
    with pytest.raises(errors.HandshakeError):
        handshakes.find_secret(
            [secret], handshakes.ACCEPTOR, transcript, [proof]
        )


@hypothesis.given(data=strategies.binary(max_size=100))
def test_arbitrary_handshakes_raise_handshake_errors(data):
    """Arbitrary handshake bytes raise only errors that are handled."""
    for decode in (handshakes.decode_hello, handshakes.decode_proofs):
        with pytest.raises(errors.HandshakeError):
            decode(data)


@pytest.mark.parametrize(
    'tamper',
    [
        lambda sealer, frame: frame[:-1] + bytes([frame[-1] ^ 1]),
        lambda sealer, frame: sealer.seal(b'body'),
        lambda sealer, frame: frames.Sealer(b'k' * 32, frames.TO_DIALLER).seal(
            b'body'
        ),
        lambda sealer, frame: frames.Sealer(b'l' * 32, frames.TO_ACCEPTOR).seal(
            b'body'
        ),
        lambda sealer, frame: b'',
    ],
    ids=['changed', 'gap', 'reflected', 'other key', 'empty'],
)
def test_tampered_frames_are_refused(tamper):
    """A changed, skipped, reflected or foreign frame is rejected."""
    sealer = frames.Sealer(b'k' * 32, frames.TO_ACCEPTOR)
    opener = frames.Opener(b'k' * 32, frames.TO_ACCEPTOR)
    with pytest.raises(errors.FrameError):
        opener.open(tamper(sealer, sealer.seal(b'body')))


@messages.register(918)
@attrs.frozen
class Grown:
    """A message class that has gained two fields since its release."""

    first: int = attrs.field(validator=messages.is_integer)
    second: str = attrs.field(
        default='',
        validator=attrs.validators.instance_of(str),
        metadata=messages.APPENDED_METADATA,
    )
    third: int = attrs.field(
        default=0,
        validator=messages.is_integer,
        metadata=messages.APPENDED_METADATA,
    )


@pytest.mark.parametrize(
    'message, body',
    [
        (Grown(1), [918, 0, 1]),
        (Grown(1, 'x'), [918, 0, 1, 'x']),
        (Grown(1, '', 3), [918, 0, 1, '', 3]),
    ],
)
def test_appended_fields_may_be_missing(message, body):
    """Nodes of two releases must decode each other's messages.

    Nodes count fields, so a reply with one more field was lost at nodes of the
    release before.
    """
    assert messages.encode_body(message, 0) == body
    assert messages.decode_body(body) == (message, 0)


@pytest.mark.parametrize('body', [[918, 0], [918, 0, 1, 'x', 3, 4]])
def test_other_counts_of_fields_are_malformed(body):
    """Only appended fields may be missing, and none may be unknown."""
    with pytest.raises(errors.MessageError):
        messages.decode_body(body)


def test_appended_fields_are_last_and_have_plain_defaults():
    """Otherwise a shorter message would be ambiguous."""
    appended = attrs.field(
        default=0,
        validator=messages.is_integer,
        metadata=messages.APPENDED_METADATA,
    )
    fields = {
        'first': appended,
        'second': attrs.field(default=0, validator=messages.is_integer),
    }
    with pytest.raises(TypeError, match='follows'):
        messages.register(919)(attrs.make_class('Mixed', fields, frozen=True))
    required = attrs.field(
        validator=messages.is_integer, metadata=messages.APPENDED_METADATA
    )
    with pytest.raises(TypeError, match='no default'):
        messages.register(919)(
            attrs.make_class('Bare', {'first': required}, frozen=True)
        )
