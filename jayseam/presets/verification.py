"""Verification of documents: first schemas, then references and limits.

The result depends only on the content, so all nodes get the same result. All
reasons for a rejection are collected, so that operators see them at once.

An item has the right shape if it matches its schema.
"""

import hashlib
import ipaddress
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from jayseam.core import jsonpaths
from jayseam.presets import documents
from jayseam.presets import errors
from jayseam.presets import itemcaches
from jayseam.presets import model
from jayseam.presets import schemas

_PRESET_SECTIONS = ('services', 'upstreams', 'zones', 'routes', 'workspaces')
# The keepers of an idempotency key are in distinct zones, and two keepers must
# grant the claim of a call that may not be repeated.
_MIN_KEEPER_ZONES = 2
_RESERVED_PREFIXES = ('/.jayseam', '/.backend')
# Number of items that are processed between two calls of ``yield_control``.
_ITEMS_PER_PAUSE = 8
_MAX_REASON_CHARS = 200
_FINGERPRINT_BYTES = 16


def compute_fingerprint(item: Any) -> bytes | None:
    """Returns a digest of an item's JSON, or None if it can't be encoded."""
    try:
        data = documents.encode_json(item)
    except errors.PresetRejectedError:
        return None
    return hashlib.blake2b(data, digest_size=_FINGERPRINT_BYTES).digest()


def verify_preset(
    document: Mapping[str, Any],
    yield_control: Callable[[], None] = documents.never_yield,
    valid_item_cache: itemcaches.ValidItemCache | None = None,
) -> model.Preset:
    """Verifies the document of a preset.

    Args:
      document: Joined document.
      yield_control: Called after every few items, to let other greenlets run.
      valid_item_cache: Cache that speeds up verification of the next version.

    Returns:
      The preset.

    Raises:
      PresetRejectedError: With every reason found.
    """
    expected = {'name', *_PRESET_SECTIONS}
    reasons = _check_fields(document, expected)
    name = document.get('name') if not reasons else ''
    if not isinstance(name, str) or not 0 <= len(name) <= 64:
        reasons.append('name: must be a string of at most 64 characters')
    if reasons:
        raise errors.PresetRejectedError(reasons)
    checked = {}
    for section in _PRESET_SECTIONS:
        checked[section] = _check_items(
            section,
            document[section],
            'name',
            reasons,
            yield_control,
            valid_item_cache,
        )
    names = {
        section: _collect_names(document[section], 'name')
        for section in _PRESET_SECTIONS
    }
    raw = {
        section: [valid.item for valid in items]
        for section, items in checked.items()
    }
    reasons += _check_upstreams(raw['upstreams'], names)
    yield_control()
    reasons += _check_routes(
        raw['routes'], raw['services'], document['upstreams'], names
    )
    yield_control()
    upstream_zones = _collect_names(document['upstreams'], 'zone')
    reasons += _check_workspaces(
        raw['workspaces'], upstream_zones, names, yield_control
    )
    if reasons:
        raise errors.PresetRejectedError(reasons)
    return _build_preset(name, checked, yield_control)


def verify_keys(
    document: Mapping[str, Any],
    yield_control: Callable[[], None] = documents.never_yield,
    valid_item_cache: itemcaches.ValidItemCache | None = None,
) -> model.KeySet:
    """Verifies the document of a key set.

    The workspaces of the keys are not checked: keys and presets change
    independently, and a key without a workspace is refused when it is used.

    Raises:
      PresetRejectedError: With every reason found.
    """
    reasons = _check_fields(document, {'keys'})
    if reasons:
        raise errors.PresetRejectedError(reasons)
    checked = _check_items(
        'keys',
        document['keys'],
        'key_id',
        reasons,
        yield_control,
        valid_item_cache,
    )
    if reasons:
        raise errors.PresetRejectedError(reasons)
    entries = _build_items(
        checked, 'key_id', lambda item: model.KeyEntry(**item), yield_control
    )
    return model.KeySet(tuple(entries))


def verify_vms(
    document: Mapping[str, Any],
    yield_control: Callable[[], None] = documents.never_yield,
    valid_item_cache: itemcaches.ValidItemCache | None = None,
) -> model.VmList:
    """Verifies the document of a VM list.

    Raises:
      PresetRejectedError: With every reason found.
    """
    reasons = _check_fields(document, {'vms'})
    if reasons:
        raise errors.PresetRejectedError(reasons)
    checked = _check_items(
        'vms', document['vms'], 'vm', reasons, yield_control, valid_item_cache
    )
    for valid in checked:
        if not _is_address(valid.item['host']):
            label = _format_label('vms', valid.item, 'vm')
            reasons.append(f'{label}.host: not an IP address')
    if reasons:
        raise errors.PresetRejectedError(reasons)
    entries = _build_items(
        checked,
        'vm',
        lambda item: model.VmEntry(**{**item, 'port': int(item['port'])}),
        yield_control,
    )
    return model.VmList(tuple(entries))


def _check_fields(document: Any, expected: set[str]) -> list[str]:
    if not isinstance(document, Mapping):
        return ['document: not an object']
    reasons = [f'{name}: absent' for name in expected - set(document)]
    unknown = set(document) - expected
    reasons += [f'{str(name)[:80]}: unknown field' for name in unknown]
    for name in expected & set(document):
        if name != 'name' and not isinstance(document[name], list):
            reasons.append(f'{name}: not a list')
    return reasons


def _check_items(
    section, items, field, reasons, yield_control, valid_item_cache
) -> list[itemcaches.ValidItem]:
    """Returns items of the right shape and appends reasons for the others."""
    checked, seen, repeated = [], set(), set()
    for index, item in enumerate(items):
        if index % _ITEMS_PER_PAUSE == 0:
            yield_control()
        name = item.get(field) if isinstance(item, Mapping) else None
        if isinstance(name, str):
            (repeated if name in seen else seen).add(name)
        valid, faults = _check_item(section, item, valid_item_cache)
        if faults:
            label = _format_label(section, item, field)
            reasons += [f'{label}{fault}' for fault in faults]
            continue
        checked.append(valid)
    if valid_item_cache is not None:
        valid_item_cache.replace(section, checked)
    reasons += [f'{section}[{name[:64]}]: name repeats' for name in repeated]
    return checked


def _check_item(
    section: str,
    item: Any,
    valid_item_cache: itemcaches.ValidItemCache | None,
) -> tuple[itemcaches.ValidItem, list[str]]:
    """Returns an item, and why it hasn't the right shape."""
    if valid_item_cache is None:
        valid = itemcaches.ValidItem(item, None)
        return valid, _find_shape_faults(section, item)
    known = valid_item_cache.find(section, item)
    if known is not None:
        return known, []
    valid = itemcaches.ValidItem(item, compute_fingerprint(item))
    if valid.fingerprint is not None and valid_item_cache.contains(
        section, valid.fingerprint
    ):
        return valid, []
    return valid, _find_shape_faults(section, item)


def _find_shape_faults(section: str, item: Any) -> list[str]:
    validator = schemas.VALIDATORS[section]
    faults = _find_non_finite(item)
    try:
        # is_valid stops at the first fault, so valid items are checked once.
        if not validator.is_valid(item):
            faults += [_describe_fault(f) for f in validator.iter_errors(item)]
    except (TypeError, ValueError) as error:
        faults.append(f': not a JSON value: {error}'[:_MAX_REASON_CHARS])
    return faults


def _describe_fault(fault: Any) -> str:
    path = jsonpaths.format_path(fault.instance_path, root='')
    return f'{path}: {fault.message[:_MAX_REASON_CHARS]}'


def _find_non_finite(item: Any) -> list[str]:
    """Returns faults for NaN and infinities.

    Comparisons with NaN are false, so the limits of a schema accept NaN.
    """
    if not isinstance(item, Mapping):
        return []
    return [
        f'.{name}: not a finite number'
        for name, value in item.items()
        if isinstance(value, float) and not math.isfinite(value)
    ]


def _format_label(section: str, item: Any, field: str) -> str:
    name = item.get(field) if isinstance(item, Mapping) else None
    return f'{section}[{name[:64] if isinstance(name, str) else "?"}]'


def _collect_names(items: Iterable[Any], field: str) -> set[str]:
    names = (i.get(field) for i in items if isinstance(i, Mapping))
    return {name for name in names if isinstance(name, str)}


def _check_upstreams(upstreams, names) -> list[str]:
    reasons = []
    for item in upstreams:
        label = f'upstreams[{item["name"]}]'
        if item['service'] not in names['services']:
            reasons.append(f'{label}.service: no service {item["service"]}')
        if item['zone'] not in names['zones']:
            reasons.append(f'{label}.zone: no zone {item["zone"]}')
        if item['ramp']['initial_slots'] > item['slots']:
            reasons.append(f'{label}.ramp.initial_slots: more than slots')
        if not math.isfinite(item['ramp']['duration_s']):
            reasons.append(f'{label}.ramp.duration_s: not a finite number')
    return reasons


def _check_routes(routes, services, upstreams, names) -> list[str]:
    reasons = []
    listed = {s['name'] for s in services if s.get('listed')}
    # Upstreams in the VM list change, so a listed service may have none now.
    available_services = _collect_names(upstreams, 'service') | listed
    zones = _collect_names(upstreams, 'zone')
    owners: dict[tuple[str, str], list[Mapping[str, Any]]] = {}
    for item in routes:
        label = f'routes[{item["name"]}]'
        reasons += _check_targets(label, item, available_services, names)
        match = item.get('host', ''), item['prefix']
        owners.setdefault(match, []).append(item)
        first = item['prefix'].rstrip('/').split('/')[1:2]
        if first and f'/{first[0]}' in _RESERVED_PREFIXES:
            reasons.append(f'{label}.prefix: reserved')
        needs_claims = not item['repeatable'] and item.get('keyed', True)
        if needs_claims and len(zones) < _MIN_KEEPER_ZONES:
            reasons.append(
                f'{label}.repeatable: false needs upstreams in at least'
                f' {_MIN_KEEPER_ZONES} zones'
            )
    for (host, prefix), sharing in owners.items():
        if len(sharing) > 1:
            reasons += _check_methods(f'{host}{prefix}', sharing)
    return reasons


def _check_methods(
    match: str, routes: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Returns the methods that several routes of one prefix have."""
    owners: dict[str, list[str]] = {}
    for item in routes:
        for method in item['methods']:
            owners.setdefault(method, []).append(item['name'])
    return [
        f'routes: {method} {match} belongs to {", ".join(sorted(names))}'
        for method, names in owners.items()
        if len(names) > 1
    ]


def _check_targets(label, item, available_services, names) -> list[str]:
    reasons = []
    services = [service for service, _ in item['targets']]
    for service in sorted(set(services)):
        if service not in names['services']:
            reasons.append(f'{label}.targets: no service {service}')
        elif service not in available_services:
            reasons.append(f'{label}.targets: {service} has no upstream')
        if services.count(service) > 1:
            reasons.append(f'{label}.targets: {service} repeats')
    total = sum(weight for _, weight in item['targets'])
    if not (math.isfinite(total) and total > 0):
        reasons.append(f'{label}.targets: weights must add up to over zero')
    return reasons


def _check_workspaces(
    workspaces, upstream_zones, names, yield_control
) -> list[str]:
    reasons = []
    for index, item in enumerate(workspaces):
        if index % _ITEMS_PER_PAUSE == 0:
            yield_control()
        weights = item.get('zone_weights')
        if weights is None:
            continue
        label = f'workspaces[{item["name"]}].zone_weights'
        for zone in sorted(set(weights) - names['zones']):
            reasons.append(f'{label}: no zone {zone}')
        # A zone without a weight would have few tokens of the rate limit while
        # it is disconnected from the others.
        for zone in sorted((upstream_zones & names['zones']) - set(weights)):
            reasons.append(f'{label}: zone {zone} is absent')
        total = sum(weights.values())
        if not (math.isfinite(total) and total > 0):
            reasons.append(f'{label}: weights must add up to over zero')
    return reasons


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _build_preset(name, checked, yield_control) -> model.Preset:
    builders = {
        'services': lambda item: model.Service(**item),
        'upstreams': _build_upstream,
        'zones': lambda item: model.Zone(**item),
        'routes': _build_route,
        'workspaces': _build_workspace,
    }
    sections = {}
    for section, build in builders.items():
        built = _build_items(checked[section], 'name', build, yield_control)
        sections[section] = {item.name: item for item in built}
    return model.Preset(name=name, **sections)


def _build_items(
    items: Iterable[itemcaches.ValidItem],
    field: str,
    build: Callable[[Mapping[str, Any]], Any],
    yield_control: Callable[[], None],
) -> list[Any]:
    """Returns the values of items in the order of a field."""
    ordered = sorted(items, key=lambda valid: valid.item[field])
    for index, valid in enumerate(ordered):
        if index % _ITEMS_PER_PAUSE == 0:
            yield_control()
        if valid.built is None:
            valid.built = build(valid.item)
    return [valid.built for valid in ordered]


def _build_upstream(item: Mapping[str, Any]) -> model.Upstream:
    # JSON schema accepts 10.0 as an integer, but slots must be an int.
    ramp = model.Ramp(
        int(item['ramp']['initial_slots']),
        item['ramp']['duration_s'],
        item['ramp'].get('rate_per_s', 0.0),
    )
    return model.Upstream(
        name=item['name'],
        service=item['service'],
        zone=item['zone'],
        slots=int(item['slots']),
        connections=int(item['connections']),
        ramp=ramp,
    )


def _build_workspace(item: Mapping[str, Any]) -> model.Workspace:
    weights = tuple(sorted(item.get('zone_weights', {}).items()))
    return model.Workspace(**{**item, 'zone_weights': weights})


def _build_route(item: Mapping[str, Any]) -> model.Route:
    return model.Route(
        name=item['name'],
        prefix=item['prefix'],
        methods=tuple(sorted(item['methods'])),
        targets=tuple((name, weight) for name, weight in item['targets']),
        open_to_all=item['open_to_all'],
        repeatable=item['repeatable'],
        timeout_ms=int(item['timeout_ms']),
        host=item.get('host', ''),
        max_attempts=int(item.get('max_attempts', model.DEFAULT_ATTEMPTS)),
        rank=int(item.get('rank', 0)),
        keyed=item.get('keyed', True),
        objective_ms=int(item.get('objective_ms', 0)),
    )
