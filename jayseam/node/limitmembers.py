"""The members that share the enforcement of the limits."""

from jayseam import limits
from jayseam import membership


class LimitingMembers:
    """Lists the members that share the enforcement of the limits.

    The limits read them several times a second, so the list is made again only
    for another view.

    Args:
      strategy: Name of the strategy of the limits.
    """

    def __init__(self, strategy: str):
        variant = limits.strategies.registry.get(strategy)
        self._includes_leaving = variant.includes_leaving_members
        self._view: membership.views.View | None = None
        self._records: tuple[membership.records.MemberRecord, ...] = ()

    def list_in(
        self, view: membership.views.View
    ) -> tuple[membership.records.MemberRecord, ...]:
        """Returns the members; the same tuple for the same view."""
        if view is not self._view:
            self._view = view
            self._records = tuple(
                record
                for record in view.members.values()
                if record.incarnation and self._shares(record)
            )
        return self._records

    def _shares(self, record: membership.records.MemberRecord) -> bool:
        if self._includes_leaving:
            return record.state != 'dead'
        return membership.views.is_live(record)
