"""Settings of a node: JSON files, checked as a whole before anything starts."""

from jayseam.settings import errors
from jayseam.settings import loading
from jayseam.settings import model
from jayseam.settings import schema

__all__ = ['errors', 'loading', 'model', 'schema']
