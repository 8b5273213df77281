"""Places in JSON documents, as reasons name them."""

from collections.abc import Iterable


def format_path(steps: Iterable[str | int], root: str = '$') -> str:
    """Returns the JSON path of a place.

    >>> format_path(['caller', 'ports', 0])
    '$.caller.ports[0]'

    Args:
      steps: Names of fields and positions in lists, from the root.
      root: What stands for the document.
    """
    return root + ''.join(
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in steps
    )
