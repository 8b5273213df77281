"""Presets, key sets and VM lists: values, documents and verification.

See Also:
  ``docs/design.md``, section 3.3.
"""

from jayseam.presets import differences
from jayseam.presets import documents
from jayseam.presets import errors
from jayseam.presets import itemcaches
from jayseam.presets import keys
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.presets import schemas
from jayseam.presets import verification

__all__ = [
    'differences',
    'documents',
    'errors',
    'itemcaches',
    'keys',
    'model',
    'samples',
    'schemas',
    'verification',
]
