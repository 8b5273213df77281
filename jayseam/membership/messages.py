"""Messages of the membership protocol, type codes 21 to 29."""

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
    if any(not 0 <= bucket < views.BUCKET_COUNT for bucket in value):
        raise ValueError(f'{attribute.name} has a bucket out of range')


@messages.register(21)
@attrs.frozen
class MemberUpdate:
    """Notification of records that changed in the sender's view."""

    records: list = attrs.field(
        validator=messages.list_of(records.MemberRecord)
    )


@messages.register(22)
@attrs.frozen
class Heartbeat:
    """Heartbeat, sent as a request and as its reply.

    Attributes:
      digest: Digest of the sender's view.
      fields: Small values that other tasks attach, by name.
    """

    digest: bytes = attrs.field(validator=_is_digest)
    fields: dict = attrs.field(validator=attrs.validators.instance_of(dict))


@messages.register(23)
@attrs.frozen
class PullSummary:
    """Request for the receiver's bucket digests, answered by `Summary`."""


@messages.register(24)
@attrs.frozen
class Summary:
    """Reply to `PullSummary`.

    Attributes:
      buckets: Low 32 bits of the digest of each bucket, in order.
    """

    buckets: list = attrs.field(
        validator=[
            messages.list_of(int),
            attrs.validators.min_len(views.BUCKET_COUNT),
            attrs.validators.max_len(views.BUCKET_COUNT),
        ]
    )


@messages.register(25)
@attrs.frozen
class PullRecords:
    """Request for those records of some buckets that differ from the sender's.

    Attributes:
      buckets: Numbers of the buckets.
      known: Low 32 bits of the hash of each of the sender's records, by VM.
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
      records: Records that the requester lacks or has in another version.
      wanted: VMs whose records the requester should send back, because the
        replying node has another version or none.
    """

    records: list = attrs.field(
        validator=messages.list_of(records.MemberRecord)
    )
    wanted: list = attrs.field(validator=messages.list_of(str))


@messages.register(27)
@attrs.frozen
class Probe:
    """Request to probe another member, the ping-req of SWIM."""

    vm: str = attrs.field(validator=_is_str)


@messages.register(28)
@attrs.frozen
class ProbeResult:
    """Reply to `Probe`.

    Attributes:
      reachable: Whether the probed member answered.
    """

    reachable: bool = attrs.field(validator=attrs.validators.instance_of(bool))
