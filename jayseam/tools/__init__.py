"""Tools for operators.

See Also:
  ``docs/design.md``, section 2.
"""

from jayseam.tools import ctl

__all__ = ['ctl']
