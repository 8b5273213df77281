"""Text tables of the operator tool."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any


def format_table(
    rows: Iterable[Mapping[str, Any]], columns: Sequence[str]
) -> str:
    """Returns a text table with aligned columns.

    >>> print(format_table([{'a': 1, 'b': 'x'}], ['a', 'b']))
    a  b
    1  x
    """
    lines = [list(columns)]
    lines += [[_format_cell(row.get(c)) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return '\n'.join(
        '  '.join(cell.ljust(w) for cell, w in zip(line, widths)).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.2f}'
    return str(value)
