"""Tests of versions in messages to nodes of this and of earlier releases."""

import pytest

from jayseam.calls import messages as call_messages
from jayseam.core import versionnumbers
from jayseam.distribution import messages
from jayseam.distribution import rejections
from jayseam.distribution import states
from jayseam.distribution import status
from jayseam.distribution import version_memory
from jayseam.distribution import versions
from jayseam.links import codecs
from jayseam.links import errors
from jayseam.links import messages as link_messages

SMALL = versionnumbers.combine(2026, 2, 77)
# The same version as earlier releases send it.
OLD_FORM = 2026 << 38 | 2 << 28 | 77
LARGE = versionnumbers.combine(2026120501, 2, 2**40)


def build_state(version):
    """Returns the state of a channel whose version is confirmed."""
    return messages.ChannelState('keys', version, 'd7', version, 'r1', 3, 250)


def build_forward(version):
    """Returns a call that was admitted by versions of both channels."""
    return call_messages.Forward(
        *('a', 'q', 1, 'view', 'pickups', 'museum', 'k', 900, True),
        *(version, version, 'GET', '/view/1', [], b''),
    )


def build_messages(version):
    """Returns a message of each kind that carries versions."""
    rows = messages.pack_states([build_state(version)])
    return [
        messages.Announce('keys', version, 'd7'),
        messages.Pull('keys', version, 'd6'),
        messages.Parts('keys', version, 'd7', b'm', {}, True),
        messages.Heartbeat(rows, 5, 6),
        messages.Sync(rows, 6),
        messages.Rejection('keys', version, 'd7', ['bad'], 1),
        build_forward(version),
    ]


@pytest.mark.parametrize('codec', ['cbor', 'cbor-zstd', 'json'])
@pytest.mark.parametrize('version', [0, 9, SMALL, LARGE])
def test_versions_of_any_size_survive_a_message(version, codec):
    """A node beside must learn of the version that a reader has found."""
    coder = codecs.codecs.get(codec)
    for message in build_messages(version):
        data = coder.encode(link_messages.encode_body(message, 1))
        decoded, _ = link_messages.decode_body(coder.decode(data))
        assert decoded == message
        if isinstance(message, (messages.Heartbeat, messages.Sync)):
            unpacked = messages.unpack_states(decoded.states)
            assert unpacked == [build_state(version)]


def test_old_nodes_read_small_versions():
    """In a rolling stop, nodes of an earlier release get the form they know."""
    bodies = [
        link_messages.encode_body(message, 0)
        for message in build_messages(SMALL)
    ]
    row = ['keys', OLD_FORM, 'd7', OLD_FORM, 'r1', 3, 250]
    assert bodies[:6] == [
        [40, 0, 'keys', OLD_FORM, 'd7'],
        [41, 0, 'keys', OLD_FORM, 'd6', [], ''],
        [42, 0, 'keys', OLD_FORM, 'd7', b'm', {}, True],
        [44, 0, [row], 5, 6],
        [45, 0, [row], 6],
        [46, 0, 'keys', OLD_FORM, 'd7', ['bad'], 1],
    ]
    assert bodies[6][11:13] == [OLD_FORM, OLD_FORM]


def test_versions_of_old_nodes_are_read():
    """In a rolling stop, what an earlier release sends has its old meaning."""
    message, _ = link_messages.decode_body([40, 0, 'keys', OLD_FORM, 'd7'])
    assert message.version == SMALL
    row = ['keys', OLD_FORM, 'd7', OLD_FORM, 'r1', 3, 250]
    heartbeat, _ = link_messages.decode_body([44, 0, [row], 5, 6])
    assert messages.unpack_states(heartbeat.states) == [build_state(SMALL)]


@pytest.mark.parametrize('form', [-1, 2**400, True, 'x', None])
def test_malformed_versions_of_a_peer_are_refused(form):
    """A malformed version must end as an error that links handle."""
    row = ['keys', form, 'd7', 1, 'r1', 3, 250]
    for body in ([40, 0, 'keys', form, 'd7'], [44, 0, [row], 5, 6]):
        with pytest.raises(errors.MessageError):
            link_messages.decode_body(body)


def test_operators_see_the_same_version_on_old_and_new_nodes():
    """In a rolling stop, logs and status pages of nodes are compared."""
    version = versions.Version('keys', SMALL, 'd7')
    assert version.describe()['version'] == OLD_FORM
    state = states.State(versions.VersionStore().accept('keys', SMALL, 'd7', 1))
    described = status.describe_channel(
        state,
        'keys',
        version_memory.Memory(0.0),
        rejections.RejectionReports(),
        0,
        2.0,
    )
    assert described['version'] == OLD_FORM
