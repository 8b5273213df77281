"""Configuration distribution and call forwarding for a service mesh.

Each subpackage covers one subject and keeps its tests beside it. See
``docs/design.md`` for how they fit together.
"""

__version__ = '0.1.0'
