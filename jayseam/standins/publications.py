"""Publications of presets and key sets at the platform."""

import json
from collections.abc import Mapping
from typing import Any

from jayseam.core import digests
from jayseam.presets import documents

_PART_PREFIX = 'parts/'
_SPLITTERS = {
    'preset': documents.split_preset,
    'keys': documents.split_keys,
}


def split_document(
    channel: str, document: Mapping[str, Any]
) -> documents.Bundle:
    """Splits a preset or key set into its manifest and parts.

    Args:
      channel: ``preset`` or ``keys``.
      document: The whole document.
    """
    return _SPLITTERS[channel](document)


def build_pointer_key(channel: str) -> str:
    """Returns the platform's key under which a channel's pointer is stored.

    >>> build_pointer_key('preset')
    'channels/preset'
    """
    return f'channels/{channel}'


def list_values(
    channel: str, bundle: documents.Bundle
) -> list[Mapping[str, Any]]:
    """Returns the values of a publication in the order of their upload.

    Parts and manifest come before the pointer, so that a reader who sees the
    new pointer finds everything that it refers to.
    """
    manifest = digests.compute_digest(bundle.manifest)
    contents = {**bundle.parts, manifest: bundle.manifest}
    values: list[Mapping[str, Any]] = [
        {'key': f'{_PART_PREFIX}{digest}', 'value': data.decode()}
        for digest, data in contents.items()
    ]
    pointer = json.dumps({'manifest': manifest})
    return [*values, {'key': build_pointer_key(channel), 'value': pointer}]
