"""Reads settings files and lists everything that is wrong with them."""

import json
import pathlib
from typing import Any

import cattrs
import jsonschema

from jayseam.settings import errors
from jayseam.settings import model
from jayseam.settings import schema

_HIDDEN = 'fleet_secrets'
_CONVERTER = cattrs.Converter()
_VALIDATOR = jsonschema.Draft202012Validator(
    schema.NODE_SCHEMA,
    format_checker=jsonschema.Draft202012Validator.FORMAT_CHECKER,
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
        key=lambda error: [str(step) for step in error.absolute_path],
    )
    if found:
        raise errors.SettingsError([_describe_problem(e) for e in found])
    return _CONVERTER.structure(document, model.NodeSettings)


def _describe_problem(error: jsonschema.ValidationError) -> str:
    """Returns one line: JSON path, value, allowed values."""
    steps = list(error.absolute_path)
    shown = '(hidden)' if _HIDDEN in steps else json.dumps(error.instance)
    if len(shown) > 80:
        shown = shown[:77] + '...'
    allowed = json.dumps(error.validator_value)
    if len(allowed) > 200:
        allowed = allowed[:197] + '...'
    text = f'{error.json_path}: {shown}: allowed: {error.validator} {allowed}'
    if error.validator in ('required', 'additionalProperties'):
        text = f'{error.json_path}: {error.message}'
    return text
