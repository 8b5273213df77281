"""Formats JSON paths for error messages."""

from collections.abc import Iterable


def format_path(steps: Iterable[str | int], root: str = '$') -> str:
    """Returns the JSON path of a value in a document.

    >>> format_path(['caller', 'ports', 0])
    '$.caller.ports[0]'

    Args:
      steps: Field names and list indexes, from the root to the value.
      root: Text that represents the whole document.
    """
    return root + ''.join(
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in steps
    )
