"""Load profiles: the calls, targets and rates of the load generator."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import cattrs
import jsonschema_rs

from jayseam.core import errors
from jayseam.core import jsonpaths

_POSITIVE = {'type': 'number', 'exclusiveMinimum': 0}
_NOT_NEGATIVE = {'type': 'number', 'minimum': 0}
_SHARE = {'type': 'number', 'minimum': 0, 'maximum': 1}
_SIZE = {'type': 'integer', 'minimum': 0, 'maximum': 16_000_000}
_PATH = {'type': 'string', 'pattern': '^/[!-~]*$'}
_TARGETS = {
    'type': 'array',
    'minItems': 1,
    'items': {'type': 'string', 'pattern': r'^[^:\s]+:[0-9]{1,5}$'},
}

_ROUTE_SCHEMA = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['path'],
    'properties': {
        'path': _PATH,
        'method': {'enum': ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']},
        'share': _POSITIVE,
        'repeatable': {'type': 'boolean'},
        'repeat_share': _SHARE,
        'nest': {'type': 'integer', 'minimum': 0, 'maximum': 10},
        'nest_path': _PATH,
        'body_bytes': _SIZE,
        'answer_bytes': _SIZE,
        'timeout_ms': _POSITIVE,
    },
}
_WORKSPACE_SCHEMA = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['name', 'rate_per_s', 'routes'],
    'properties': {
        'name': {'type': 'string', 'minLength': 1},
        'key': {'type': 'string'},
        'rate_per_s': _POSITIVE,
        'connections': {'type': 'integer', 'minimum': 1, 'maximum': 1000},
        'targets': _TARGETS,
        'start_s': _NOT_NEGATIVE,
        'end_s': _POSITIVE,
        'routes': {'type': 'array', 'minItems': 1, 'items': _ROUTE_SCHEMA},
    },
}
SCHEMA: Mapping[str, Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['targets', 'duration_s', 'workspaces'],
    'properties': {
        'targets': _TARGETS,
        'duration_s': _POSITIVE,
        'seed': {'type': 'integer'},
        'arrivals': {'enum': ['poisson', 'uniform']},
        'timeout_s': _POSITIVE,
        'check_answers': {'type': 'boolean'},
        'workspaces': {
            'type': 'array',
            'minItems': 1,
            'items': _WORKSPACE_SCHEMA,
        },
    },
}


class ProfileError(errors.JayseamError):
    """A load profile is invalid.

    Attributes:
      reasons: All validation errors, one line each.
    """

    def __init__(self, reasons: Sequence[str]):
        super().__init__('; '.join(reasons))
        self.reasons = list(reasons)


@attrs.frozen
class RouteLoad:
    """The calls of a workspace on one route.

    Attributes:
      path: Request target.
      method: HTTP method.
      share: Weight among the routes of the workspace.
      repeatable: Whether calls are idempotent; if false, each call has an
        idempotency key.
      repeat_share: Share of the calls that repeat a recent call on this route
        with the same idempotency key; used if ``repeatable`` is false.
      nest: Depth of the nested calls that the backend server makes.
      nest_path: Path of the nested calls; empty means the same path.
      body_bytes: Size of the request body.
      answer_bytes: Size of the filler requested for the response body; None
        leaves the size to the backend server.
      timeout_ms: Value of the header ``Request-Timeout-Ms``; None sends no such
        header.
    """

    path: str
    method: str = 'GET'
    share: float = 1.0
    repeatable: bool = True
    repeat_share: float = 0.0
    nest: int = 0
    nest_path: str = ''
    body_bytes: int = 0
    answer_bytes: int | None = None
    timeout_ms: float | None = None


@attrs.frozen
class WorkspaceLoad:
    """The calls of one workspace.

    A workspace may have several entries in a profile, for example a second
    entry that adds load for a part of the run.

    Attributes:
      name: Name of the workspace.
      rate_per_s: Arrivals per second.
      routes: Routes that are called.
      key: Workspace key; empty sends no key.
      connections: Number of connections, which is the largest number of calls
        in flight.
      targets: Addresses for this workspace; empty means the targets of the
        profile.
      start_s: Start of the arrivals in seconds since the start of the run.
      end_s: End of the arrivals in seconds since the start of the run; None
        means the end of the run.
    """

    name: str
    rate_per_s: float
    routes: tuple[RouteLoad, ...]
    key: str = ''
    connections: int = 16
    targets: tuple[str, ...] = ()
    start_s: float = 0.0
    end_s: float | None = None


@attrs.frozen
class Profile:
    """A load profile.

    Attributes:
      targets: Caller addresses of nodes as ``host:port``.
      duration_s: Duration of the run in seconds.
      workspaces: The calls of all workspaces.
      seed: Seed of arrivals, routes, repeats and idempotency keys.
      arrivals: Distribution of the times between arrivals: ``poisson``
        (exponential) or ``uniform`` (constant).
      timeout_s: Seconds until a call without a response times out.
      check_answers: Whether to check that response bodies are complete and
        belong to their call; only bodies of backend stand-ins can be checked.
    """

    targets: tuple[str, ...]
    duration_s: float
    workspaces: tuple[WorkspaceLoad, ...]
    seed: int = 0
    arrivals: str = 'poisson'
    timeout_s: float = 5.0
    check_answers: bool = True


def parse_profile(document: Any) -> Profile:
    """Validates a decoded JSON profile and returns it.

    >>> parse_profile({'targets': ['127.0.0.1:1'], 'duration_s': 0})
    Traceback (most recent call last):
    ...
    jayseam.tools.profiles.ProfileError: $: "workspaces" is a required ...

    Raises:
      ProfileError: If the profile is invalid; with each validation error and
        its JSON path.
    """
    validator = jsonschema_rs.Draft202012Validator(SCHEMA)
    problems = [
        (jsonpaths.format_path(error.instance_path), error.message)
        for error in validator.iter_errors(document)
    ]
    if problems:
        raise ProfileError(
            [f'{path}: {text}' for path, text in sorted(problems)]
        )
    return cattrs.structure(document, Profile)


def read_profile(path: str) -> Profile:
    """Reads and validates a profile file.

    Raises:
      ProfileError: If the file can't be read or is invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise ProfileError([str(error)]) from error
    return parse_profile(document)
