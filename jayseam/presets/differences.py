"""Differences between two presets, for operators."""

from typing import Any

import attrs

from jayseam.presets import model

_SECTIONS = ('services', 'upstreams', 'zones', 'routes', 'workspaces')


@attrs.frozen
class Difference:
    """One difference.

    Attributes:
      kind: ``added``, ``removed`` or ``changed``.
      section: Section of the preset, or ``preset`` for its name.
      name: Name of the item.
      field: Changed field, empty unless ``kind`` is ``changed``.
      old: Value before, None if added.
      new: Value after, None if removed.
    """

    kind: str
    section: str
    name: str
    field: str
    old: Any
    new: Any

    def format(self) -> str:
        """Returns one line for operators.

        >>> Difference('changed', 'zones', 'a', 'in_service', True, False
        ...     ).format()
        'changed zones[a].in_service: True -> False'
        """
        place = f'{self.section}[{self.name}]'
        if self.kind != 'changed':
            return f'{self.kind} {place}'
        return f'changed {place}.{self.field}: {self.old!r} -> {self.new!r}'


def compare_presets(
    old: model.Preset, new: model.Preset
) -> tuple[Difference, ...]:
    """Returns what changes from one preset to another, in a stable order."""
    found = []
    if old.name != new.name:
        found.append(
            Difference(
                'changed', 'preset', new.name, 'name', old.name, new.name
            )
        )
    for section in _SECTIONS:
        found += _compare_items(
            section, getattr(old, section), getattr(new, section)
        )
    return tuple(found)


def _compare_items(section, old, new) -> list[Difference]:
    found = []
    for name in sorted({*old, *new}):
        before, after = old.get(name), new.get(name)
        if before is None:
            found.append(Difference('added', section, name, '', None, after))
        elif after is None:
            found.append(Difference('removed', section, name, '', before, None))
        else:
            found += _compare_fields(section, name, before, after)
    return found


def _compare_fields(section, name, before, after) -> list[Difference]:
    return [
        Difference('changed', section, name, field.name, old, new)
        for field in attrs.fields(type(before))
        if (old := _read_field(before, field.name))
        != (new := _read_field(after, field.name))
    ]


def _read_field(item: Any, name: str) -> Any:
    """Returns a field's value in the form that it has in documents."""
    value = getattr(item, name)
    return dict(value) or None if name == 'zone_weights' else value
