"""Builds the parts through which a call passes at its entry."""

import functools

import attrs

from jayseam import backends
from jayseam import calls
from jayseam import distribution
from jayseam import limits
from jayseam import links
from jayseam import membership
from jayseam import settings as node_settings
from jayseam.core import clocks
from jayseam.node import confirmations
from jayseam.node import forwarding
from jayseam.node import limitmembers

# The queue whose refusals book room for the return of their callers.
_BOOKING_QUEUE = 'objective'


@attrs.frozen
class CallPath:
    """The parts through which a call passes at its entry.

    Attributes:
      limiter: Limits the calls of workspaces.
      store: Claims that this node keeps for others.
      chooser: Chooses the VM for each attempt.
      entry: Takes calls.
    """

    limiter: limits.task.LimitTask
    store: calls.keepers.ClaimStore
    chooser: calls.choosers.Chooser
    entry: calls.entry.Entry


def build_chooser(
    settings: node_settings.model.NodeSettings,
    link_manager: links.manager.LinkManager,
) -> calls.choosers.Chooser:
    """Returns the chooser of VMs for the settings of a node."""
    return calls.choosers.Chooser(
        settings.zone,
        settings.selection.strategy,
        spill_load=settings.selection.spill_load,
        spill_gain=settings.selection.spill_gain,
        zone_price=settings.selection.zone_price,
        list_unresponsive=link_manager.list_unresponsive,
    )


def build_call_path(
    settings: node_settings.model.NodeSettings,
    incarnation: int,
    dialect: backends.dialects.Dialect,
    link_manager: links.manager.LinkManager,
    members: membership.task.MembershipTask,
    task: distribution.task.DistributionTask,
    forwarder: forwarding.Forwarder,
    confirmed: confirmations.Confirmations,
) -> CallPath:
    """Returns the parts of the call path.

    Args:
      settings: Settings of the node.
      incarnation: Incarnation of this process.
      dialect: Names of the header fields of callers.
      link_manager: Links to other nodes.
      members: Task that knows the members.
      task: Task that distributes the configuration.
      forwarder: Sends calls to ingresses.
      confirmed: Tells whether the configuration held may decide calls.
    """
    limiting = limitmembers.LimitingMembers(settings.limits.strategy)
    limiter = limits.task.LimitTask(
        settings.vm,
        settings.upstream,
        settings.zone,
        incarnation,
        link_manager.request,
        # Calls may never open a link to the node that relays reports, so
        # sending a report opens it.
        link_manager.dial_and_notify,
        lambda: limiting.list_in(members.view),
        strategy=settings.limits.strategy,
    )
    if settings.limits.tolerance:
        limiter.set_tolerance(settings.limits.tolerance)
    store = calls.keepers.ClaimStore(
        clocks.read_wall_ms(), settings.idempotency.window_s
    )
    chooser = build_chooser(settings, link_manager)
    coordinator = calls.claims.ClaimCoordinator(
        settings.vm,
        store,
        link_manager.request,
        functools.partial(_find_holder, members),
    )
    entry = calls.entry.Entry(
        calls.entry.EntryDependencies(
            own_vm=settings.vm,
            token_keys=tuple(
                calls.tokens.derive_token_key(secret)
                for secret in settings.fleet_secrets
            ),
            read_snapshot=lambda: task.snapshot,
            read_view=lambda: members.view,
            chooser=chooser,
            limiter=limiter,
            forwarder=forwarder.forward,
            coordinator=coordinator,
            cancel=forwarder.cancel,
            are_keys_trusted=confirmed.are_keys_trusted,
            is_current=confirmed.is_current,
            compute_keys_age=confirmed.compute_keys_age,
            window_s=settings.idempotency.window_s,
            dialect=dialect,
            service=settings.service,
            retry_budget=calls.retries.RetryBudgetParameters(
                settings.retries.share, settings.retries.max_saved
            ),
            vms_promise_room=settings.admission.get_queue() == _BOOKING_QUEUE,
            retry_bound=calls.retries.FleetRetryBound(
                settings.retries.fleet_share, settings.retries.fleet_slack
            ),
        )
    )
    return CallPath(limiter, store, chooser, entry)


def _find_holder(
    members: membership.task.MembershipTask, upstream: str
) -> str | None:
    record = members.view.find_holder(upstream)
    return None if record is None else record.vm
