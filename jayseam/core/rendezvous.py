"""Rendezvous (highest random weight) hashing.

References:
  Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
  IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates ordered by their weight for ``key``, best first.

    Every node computes the same order from the same candidates, and removing
    one candidate leaves the order of the others unchanged.

    >>> order = rank('zone-a', ['vm-1', 'vm-2', 'vm-3'])
    >>> rank('zone-a', [vm for vm in order if vm != order[0]]) == order[1:]
    True
    """

    def compute_weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()), name

    return sorted(candidates, key=compute_weight, reverse=True)
