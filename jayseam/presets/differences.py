"""Differences between two presets, for display to operators."""

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
        """Returns the difference as one line of text.

        >>> Difference('changed', 'zones', 'a', 'in_service', True, False
        ...     ).format()
        'changed zones[a].in_service: True -> False'
        """
        path = f'{self.section}[{self.name}]'
        if self.kind != 'changed':
            return f'{self.kind} {path}'
        return f'changed {path}.{self.field}: {self.old!r} -> {self.new!r}'


def compare_presets(
    old: model.Preset, new: model.Preset
) -> tuple[Difference, ...]:
    """Returns the differences between two presets, in a stable order."""
    results = []
    if old.name != new.name:
        results.append(
            Difference(
                'changed', 'preset', new.name, 'name', old.name, new.name
            )
        )
    for section in _SECTIONS:
        results += _compare_items(
            section, getattr(old, section), getattr(new, section)
        )
    return tuple(results)


def _compare_items(section, old, new) -> list[Difference]:
    results = []
    for name in sorted({*old, *new}):
        before, after = old.get(name), new.get(name)
        if before is None:
            results.append(Difference('added', section, name, '', None, after))
        elif after is None:
            results.append(
                Difference('removed', section, name, '', before, None)
            )
        else:
            results += _compare_fields(section, name, before, after)
    return results


def _compare_fields(section, name, before, after) -> list[Difference]:
    return [
        Difference('changed', section, name, field.name, old, new)
        for field in attrs.fields(type(before))
        if (old := _read_field(before, field.name))
        != (new := _read_field(after, field.name))
    ]


def _read_field(item: Any, name: str) -> Any:
    """Returns the value of a field in the form that documents use."""
    value = getattr(item, name)
    return dict(value) or None if name == 'zone_weights' else value
