"""Settings of a node, read from JSON files and validated before it starts."""

from jayseam.settings import errors
from jayseam.settings import loading
from jayseam.settings import model
from jayseam.settings import schema

__all__ = ['errors', 'loading', 'model', 'schema']
