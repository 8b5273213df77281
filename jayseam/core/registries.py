"""Registries of named variants, which decorators register."""

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from jayseam.core import errors

T = TypeVar('T')


class Registry(Generic[T]):
    """Maps names to the variants of one kind of behaviour.

    >>> shapes = Registry('shape')
    >>> @shapes.register('square')
    ... def area(side):
    ...     return side * side
    >>> shapes.get('square')(3)
    9
    >>> shapes.get('circle')  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    jayseam.core.errors.UnknownVariantError: unknown shape ...
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._variants: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under ``name``.

        Raises:
          ValueError: If the name is already taken.
        """

        def add_variant(variant: T) -> T:
            if name in self._variants:
                raise ValueError(f'{self._kind} {name!r} is already registered')
            self._variants[name] = variant
            return variant

        return add_variant

    def get(self, name: str) -> T:
        """Returns the variant registered under ``name``.

        Raises:
          UnknownVariantError: If no variant has that name.
        """
        if name not in self._variants:
            known = ', '.join(self.list_names())
            raise errors.UnknownVariantError(
                f'unknown {self._kind} {name!r}; known: {known}'
            )
        return self._variants[name]

    def list_names(self) -> Sequence[str]:
        """Returns the registered names in alphabetical order."""
        return sorted(self._variants)
