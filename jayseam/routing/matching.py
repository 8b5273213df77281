"""Route lookup by longest prefix and method, and weighted choice of a service.

Routes are duck typed: see ``Route`` in section 3.3 of ``docs/design.md``.
"""

import bisect
import itertools
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Any
from urllib import parse

import attrs

from jayseam.routing import errors

# Encoded separators, dots, percent signs and NUL: a server that decodes them
# once more than the matcher would serve a path that was never matched.
_AMBIGUOUS = re.compile(r'%(2f|5c|2e|25|00)', re.IGNORECASE)
_DOT_SEGMENTS = ('.', '..')


def parse_path(target: str) -> str:
    """Returns the decoded path of a request target, for matching.

    A path whose meaning depends on how the backend server normalizes it is
    refused: it could match a route that is open to all and reach a resource
    that is not.

    Args:
      target: Request target in origin form, with or without a query.

    Raises:
      BadPathError: If the path is relative, has empty or dot segments, or
        encodes a separator, dot, percent sign or NUL.

    >>> parse_path('/pickups/caf%C3%A9?day=1')
    '/pickups/café'
    >>> parse_path('/open/../refunds')
    Traceback (most recent call last):
    ...
    jayseam.routing.errors.BadPathError: ambiguous path '/open/../refunds'
    """
    path = target.partition('?')[0]
    if not path.startswith('/') or any(c in path for c in ('\\', '//', '#')):
        raise errors.BadPathError(f'ambiguous path {path!r}')
    if '%' not in path and '/.' not in path:
        return path
    if _AMBIGUOUS.search(path):
        raise errors.BadPathError(f'ambiguous path {path!r}')
    # Some servers drop path parameters and take ``..;a`` for a dot segment.
    segments = (s.partition(';')[0] for s in path.split('/'))
    if any(segment in _DOT_SEGMENTS for segment in segments):
        raise errors.BadPathError(f'ambiguous path {path!r}')
    return parse.unquote(path)


@attrs.frozen
class RouteTable:
    """The routes of one preset by host and prefix.

    Attributes:
      by_host: For each host the routes of each prefix, in the order of the
        preset. Routes for all hosts have the empty host as their key.
    """

    by_host: Mapping[str, Mapping[str, tuple[Any, ...]]]

    def match(self, target: str, method: str, host: str = '') -> Any:
        """Returns the route of a call.

        The longest prefix decides even if it lacks the method, so that a call
        never falls through to the wider route of another service.

        Args:
          target: Request target in origin form.
          method: HTTP method.
          host: Host of the request, without a port. Its routes take
            precedence over routes for all hosts.

        Raises:
          BadPathError: If the path is ambiguous.
          NoRouteError: If no prefix matches.
          MethodNotAllowedError: If the matched routes lack the method.
        """
        path = parse_path(target)
        for name in dict.fromkeys((host, '')):
            by_prefix = self.by_host.get(name, {})
            for prefix in _list_prefixes(path) if by_prefix else ():
                routes = by_prefix.get(prefix)
                if routes is not None:
                    return _select_method(routes, path, method)
        raise errors.NoRouteError(f'no route for {path}')


def build_table(routes: Iterable[Any] | Mapping[str, Any]) -> RouteTable:
    """Builds the table of the routes of a preset.

    Args:
      routes: Objects with ``prefix`` and ``methods``, or a mapping to them.
    """
    values = routes.values() if isinstance(routes, Mapping) else routes
    by_host: dict[str, dict[str, tuple[Any, ...]]] = {}
    for route in values:
        by_prefix = by_host.setdefault(getattr(route, 'host', ''), {})
        prefix = route.prefix or '/'
        by_prefix[prefix] = by_prefix.get(prefix, ()) + (route,)
    return RouteTable(by_host)


def choose_service(targets: Sequence[tuple[str, float]], draw: float) -> str:
    """Returns a service of a route in proportion to the weights.

    Args:
      targets: Pairs of service and weight.
      draw: Random number in [0, 1).

    Raises:
      NoCandidateError: If no target has a positive weight.

    >>> targets = (('pickups', 3), ('pickups-next', 1))
    >>> choose_service(targets, 0.5), choose_service(targets, 0.9)
    ('pickups', 'pickups-next')
    """
    positive = [(name, weight) for name, weight in targets if weight > 0]
    if not positive:
        raise errors.NoCandidateError('the route has no target with weight')
    sums = list(itertools.accumulate(weight for _, weight in positive))
    position = bisect.bisect_right(sums, draw * sums[-1])
    return positive[min(position, len(positive) - 1)][0]


def _list_prefixes(path: str) -> Iterable[str]:
    """Yields the prefixes that match the path, longest first.

    A prefix ends at a segment boundary: ``/refunds`` matches ``/refunds`` and
    ``/refunds/1`` but not ``/refunds-old``.
    """
    yield path
    end = len(path)
    while True:
        end = path.rfind('/', 0, end)
        if end < 0:
            return
        if end + 1 < len(path):
            yield path[: end + 1]
        if end > 0:
            yield path[:end]


def _select_method(routes: Sequence[Any], path: str, method: str) -> Any:
    """Returns the route with the method; a route without methods has any."""
    for route in routes:
        if method in route.methods or not route.methods:
            return route
    allowed = sorted({name for route in routes for name in route.methods})
    raise errors.MethodNotAllowedError(path, tuple(allowed))
