"""Sample settings of a node that runs inside a test."""

from typing import Any

import attrs

from jayseam.settings import model

LOOPBACK = model.Address('127.0.0.1', 0)


def build_settings(**changes: Any) -> model.NodeSettings:
    """Returns settings of a node without peers, source and backend server."""
    settings = model.NodeSettings(
        vm='vm',
        region='r',
        zone='a',
        upstream='u',
        caller=LOOPBACK,
        link=model.LinkAddress('127.0.0.1', 0),
        admin=LOOPBACK,
        backend=model.Address('127.0.0.1', 9),
        source=model.SourceSettings(('http://127.0.0.1:9',)),
        fleet_secrets=('secret',),
        stop=model.StopSettings(1.0, 0.1, 0.2),
    )
    return attrs.evolve(settings, **changes)
