"""Reads settings files and lists everything that is wrong with them."""

import functools
import json
import operator
import pathlib
from typing import Any

import cattrs
import jsonschema_rs

from jayseam.core import jsonpaths
from jayseam.settings import errors
from jayseam.settings import model
from jayseam.settings import schema

_HIDDEN = 'fleet_secrets'
_CONVERTER = cattrs.Converter()
_VALIDATOR = jsonschema_rs.Draft202012Validator(
    schema.NODE_SCHEMA, validate_formats=True
)


def load_node_settings(path: str) -> model.NodeSettings:
    """Reads and checks the settings file of a node.

    Raises:
      SettingsError: With one line for each problem: JSON path, value, and what
        is allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        document = json.loads(text)
    except (OSError, ValueError) as error:
        raise errors.SettingsError([f'$: cannot read JSON: {error}']) from error
    return parse_node_settings(document)


def parse_node_settings(document: Any) -> model.NodeSettings:
    """Checks a settings document and returns its typed form.

    >>> try:
    ...     parse_node_settings({'vm': 7})
    ... except errors.SettingsError as error:
    ...     print(error.problems[-1])
    $.vm: 7: allowed: type "string"

    Raises:
      SettingsError: If any part of the document is not allowed.
    """
    found = sorted(
        _VALIDATOR.iter_errors(document),
        key=lambda error: [str(step) for step in error.instance_path],
    )
    if found:
        raise errors.SettingsError([_describe_problem(e) for e in found])
    return _CONVERTER.structure(document, model.NodeSettings)


def _describe_problem(error: jsonschema_rs.ValidationError) -> str:
    """Returns one line: JSON path, value, allowed values."""
    steps = error.instance_path
    path = jsonpaths.format_path(steps)
    shown = '(hidden)' if _HIDDEN in steps else json.dumps(error.instance)
    if len(shown) > 80:
        shown = shown[:77] + '...'
    keyword = error.kind.name
    # The schema itself says what its last step allows.
    allowed = json.dumps(
        functools.reduce(
            operator.getitem, error.schema_path, schema.NODE_SCHEMA
        )
    )
    if len(allowed) > 200:
        allowed = allowed[:197] + '...'
    if keyword in ('required', 'additionalProperties'):
        return f'{path}: {error.message}'
    return f'{path}: {shown}: allowed: {keyword} {allowed}'
