"""Local messages in the mailbox of the membership task."""

import attrs

from jayseam.membership import records


@attrs.frozen
class Merge:
    """Records to merge into the view.

    Attributes:
      records: The records.
      source: VM that sent them, None if they come from this node.
    """

    records: tuple[records.MemberRecord, ...]
    source: str | None


@attrs.frozen
class OwnChange:
    """A change of this node's own record.

    Attributes:
      state: New state, None to keep it.
      backend: New state of the backend server, None to keep it.
    """

    state: str | None
    backend: str | None


@attrs.frozen
class VmListReceived:
    """The VM list of the platform, as records."""

    records: tuple[records.MemberRecord, ...]


@attrs.frozen
class SignOfLife:
    """A sign of life of another member.

    Attributes:
      vm: The member.
      heard_at: Time of the sign of life, in seconds.
      indirect: Whether another member reported it after a probe.
    """

    vm: str
    heard_at: float
    indirect: bool


@attrs.frozen
class Tick:
    """Runs the failure detector."""


@attrs.frozen
class Flush:
    """Sends the changed records in the outbox."""


@attrs.frozen
class RemoveExpired:
    """Removes members whose retention time as dead members has passed."""
