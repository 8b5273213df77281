"""Tests of the watches of a reader."""

from jayseam.core import clocks
from jayseam.distribution import reading
from jayseam.distribution.tests import fakes
from jayseam.presets import documents
from jayseam.source import errors
from jayseam.source import watchers
from jayseam.standins import waits

# Deadline of the platform for a change of the configuration, in seconds.
CONFIG_APPLY_S = 2.0
# Time after which a back-off has grown to several seconds.
FAILING_S = 3.5


class _PartlyFailingSource(fakes.FakeSource):
    """A source of which the keys can't be read for a while."""

    def __init__(self):
        super().__init__()
        self.fails_until = clocks.read_now() + FAILING_S

    def read_value(self, key, after_revision=None, wait_s=0.0, after_digest=''):
        """Reads a pointer."""
        if key.endswith('keys') and clocks.read_now() < self.fails_until:
            raise errors.SourceUnreachableError('odd')
        return super().read_value(key, after_revision, wait_s, after_digest)


def test_back_off_ends_when_another_channel_is_read():
    """A channel that failed was read up to 8 s after the source was back."""
    source = _PartlyFailingSource()
    for channel in ('preset', 'keys'):
        body = documents.encode_json({'manifest': 'ab' * 16})
        source.set_value(channel, 2, body)
    sent = []
    reader = reading.SourceReader(
        'a',
        'z',
        source,
        0.5,
        sent.append,
        lambda channel: watchers.NO_VERSION,
        lambda channel, error: None,
        # The longest waits that a back-off may draw.
        lambda: 0.999,
    )
    reader.update_role(['a'])
    try:
        waits.wait_until(
            lambda: any(
                isinstance(item, watchers.SourceUpdate)
                and item.channel == 'keys'
                for item in sent
            ),
            FAILING_S + CONFIG_APPLY_S,
        )
    finally:
        reader.stop()
