"""Load profiles and records for tests of the load generator."""

from jayseam.tools import profiles
from jayseam.tools import records


def get_address(host):
    """Returns the address of the host's only backend server."""
    return f'127.0.0.1:{host.backends["b1"].port}'


def build_profile(host, routes=({'path': '/a'},), rate=100, **options):
    """Returns a profile with one workspace that calls the host."""
    options = {'duration_s': 0.5, 'seed': 3, **options}
    connections = options.pop('connections', 20)
    return profiles.parse_profile(
        {
            'targets': [get_address(host)],
            'workspaces': [
                {
                    'name': 'w1',
                    'rate_per_s': rate,
                    'connections': connections,
                    'routes': list(routes),
                }
            ],
            **options,
        }
    )


def build_record(**fields):
    """Returns the record of a call by workspace ``w1``."""
    return records.CallRecord('w1', 'GET', '/a', 'e1', '', False, 0.0, **fields)
