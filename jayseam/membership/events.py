"""Messages in the mailbox of a node's own membership task."""

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
    """A change of the own record.

    Attributes:
      state: New state, None to keep it.
      backend: New state of the backend server, None to keep it.
    """

    state: str | None
    backend: str | None


@attrs.frozen
class VmList:
    """The VM list of the platform, as records."""

    records: tuple[records.MemberRecord, ...]


@attrs.frozen
class Heard:
    """A sign of life of another member.

    Attributes:
      vm: The member.
      now: Time of the sign, in seconds.
      indirect: Whether it came through another member.
    """

    vm: str
    now: float
    indirect: bool


@attrs.frozen
class Tick:
    """Judges the watched members."""


@attrs.frozen
class Flush:
    """Sends the changed records."""


@attrs.frozen
class Drop:
    """Drops members that have been dead for long."""
