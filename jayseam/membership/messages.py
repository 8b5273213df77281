"""Messages of the membership protocol, codes 21 to 29."""

import attrs

from jayseam.links import messages
from jayseam.membership import records
from jayseam.membership import views

_is_str = attrs.validators.instance_of(str)
_is_digest = attrs.validators.and_(
    attrs.validators.instance_of(bytes),
    attrs.validators.min_len(8),
    attrs.validators.max_len(8),
)


def _check_buckets(_, attribute: attrs.Attribute, value: list[int]) -> None:
    if any(not 0 <= bucket < views.BUCKETS for bucket in value):
        raise ValueError(f'{attribute.name} has an unknown bucket')


@messages.register(21)
@attrs.frozen
class MemberUpdate:
    """Records that changed at the sender."""

    records: list = attrs.field(
        validator=messages.list_of(records.MemberRecord)
    )


@messages.register(22)
@attrs.frozen
class Heartbeat:
    """Sign of life, sent as a request and as its reply.

    Attributes:
      digest: Digest of the sender's view.
      fields: Small values that other tasks add.
    """

    digest: bytes = attrs.field(validator=_is_digest)
    fields: dict = attrs.field(validator=attrs.validators.instance_of(dict))


@messages.register(23)
@attrs.frozen
class PullSummary:
    """Asks for the digests of the buckets."""


@messages.register(24)
@attrs.frozen
class Summary:
    """The low 32 bits of each bucket's digest, in order."""

    buckets: list = attrs.field(
        validator=[
            messages.list_of(int),
            attrs.validators.min_len(views.BUCKETS),
            attrs.validators.max_len(views.BUCKETS),
        ]
    )


@messages.register(25)
@attrs.frozen
class PullRecords:
    """Asks for the records of some buckets that differ from those held.

    Attributes:
      buckets: Numbers of the buckets.
      known: Low 32 bits of the hash of each record held, by VM.
    """

    buckets: list = attrs.field(
        validator=[messages.list_of(int), _check_buckets]
    )
    known: dict = attrs.field(validator=messages.dict_of(int))


@messages.register(26)
@attrs.frozen
class Records:
    """Reply to `PullRecords`.

    Attributes:
      records: Records that the asker lacks or has in another version.
      wanted: VMs whose record at the asker differs or is unknown here.
    """

    records: list = attrs.field(
        validator=messages.list_of(records.MemberRecord)
    )
    wanted: list = attrs.field(validator=messages.list_of(str))


@messages.register(27)
@attrs.frozen
class Probe:
    """Asks the receiver to probe another member."""

    vm: str = attrs.field(validator=_is_str)


@messages.register(28)
@attrs.frozen
class ProbeResult:
    """Whether the probed member answered."""

    reachable: bool = attrs.field(validator=attrs.validators.instance_of(bool))
