"""Changes that operators make to presets and key sets.

Each function returns a modified copy of a document.
"""

import copy
from collections.abc import Mapping
from typing import Any

from jayseam.standins import errors


def set_zone_in_service(
    preset: Mapping[str, Any], zone: str, in_service: bool
) -> dict[str, Any]:
    """Returns the preset with one zone in or out of service.

    >>> before = {'zones': [{'name': 'a', 'in_service': True}]}
    >>> set_zone_in_service(before, 'a', False)
    {'zones': [{'name': 'a', 'in_service': False}]}

    Raises:
      ClusterError: If the preset has no such zone.
    """
    changed = copy.deepcopy(dict(preset))
    matches = [entry for entry in changed['zones'] if entry['name'] == zone]
    if not matches:
        raise errors.ClusterError(f'no zone {zone!r}')
    matches[0]['in_service'] = in_service
    return changed


def remove_key(keys: Mapping[str, Any], key_id: str) -> dict[str, Any]:
    """Returns the key set without one key.

    >>> remove_key({'keys': [{'key_id': 'k1'}, {'key_id': 'k2'}]}, 'k1')
    {'keys': [{'key_id': 'k2'}]}

    Raises:
      ClusterError: If the key set has no such key.
    """
    remaining = [entry for entry in keys['keys'] if entry['key_id'] != key_id]
    if len(remaining) == len(keys['keys']):
        raise errors.ClusterError(f'no key {key_id!r}')
    return {**keys, 'keys': remaining}


def add_open_route(preset: Mapping[str, Any], prefix: str) -> dict[str, Any]:
    """Returns the preset with an additional route that is open to all.

    The route has the targets of the first open route, or of the first route
    if none is open. A node answers 404 below ``prefix`` until the preset is
    in force.

    >>> routes = [{'name': 'a', 'prefix': '/a', 'targets': [], 'methods': []}]
    >>> add_open_route({'routes': routes}, '/probe-1')['routes'][1]['name']
    'probe-1'
    """
    changed = copy.deepcopy(dict(preset))
    routes = changed['routes']
    template = next((r for r in routes if r.get('open_to_all')), routes[0])
    added = {**template, 'name': prefix[1:], 'prefix': prefix}
    added.update(methods=['GET'], open_to_all=True, repeatable=True)
    routes.append(added)
    return changed
