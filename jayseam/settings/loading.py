"""Reads and validates settings files, and reports all problems at once."""

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

_SECRET_FIELD = 'fleet_secrets'
_CONVERTER = cattrs.Converter()
_VALIDATOR = jsonschema_rs.Draft202012Validator(
    schema.NODE_SCHEMA, validate_formats=True
)


def load_node_settings(path: str) -> model.NodeSettings:
    """Reads and validates the settings file of a node.

    Raises:
      SettingsError: If the file can't be read or is not valid; has one line for
        each problem with JSON path, value and allowed values.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        document = json.loads(text)
    except (OSError, ValueError) as error:
        raise errors.SettingsError([f'$: cannot read JSON: {error}']) from error
    return parse_node_settings(document)


def parse_node_settings(document: Any) -> model.NodeSettings:
    """Validates a settings document and returns its typed form.

    >>> try:
    ...     parse_node_settings({'vm': 7})
    ... except errors.SettingsError as error:
    ...     print(error.problems[-1])
    $.vm: 7: allowed: type "string"

    Raises:
      SettingsError: If any part of the document is not valid.
    """
    validation_errors = sorted(
        _VALIDATOR.iter_errors(document),
        key=lambda error: [str(step) for step in error.instance_path],
    )
    if validation_errors:
        raise errors.SettingsError(
            [_describe_problem(e) for e in validation_errors]
        )
    return _CONVERTER.structure(document, model.NodeSettings)


def _describe_problem(error: jsonschema_rs.ValidationError) -> str:
    """Returns one line with JSON path, value and allowed values."""
    steps = error.instance_path
    path = jsonpaths.format_path(steps)
    shown = '(hidden)' if _SECRET_FIELD in steps else json.dumps(error.instance)
    if len(shown) > 80:
        shown = shown[:77] + '...'
    keyword = error.kind.name
    # The schema at the path of the error holds the allowed values.
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
