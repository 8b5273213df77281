"""A tenant gets a second key; the version with it never comes into force."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand2  # pylint: disable=wrong-import-position

HOSTS = ('127.111.0.1', '127.111.0.2', '127.111.0.3', '127.111.0.4')
ZONES = ('z-a', 'z-b')
OLD, NEW = 'points', 'credits'
# The keys of a tenant that changes its key, in a usual form: NAME.SECRET.
FIRST_KEY = 'reprise.6wsjnbanfqasnmgkcuyj'
SECOND_KEY = 'reprise.8pjbvk9m68k7b2ex5wa5'
# A key of a tenant that the change doesn't touch.
OTHER_KEY = 'k2m8fbq0xw7c5tzr1vjd'
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0


def build(number, service, keys):
    """Returns a version of the configuration."""
    routes = {
        'r-public': stand2.build_route(
            'one.example', '/public/', 'unsafe', service, public=True
        ),
        'r-keyed': stand2.build_route('one.example', '/keyed/', 'unsafe', OLD),
    }
    tenants = {
        't-one': {
            'api_keys': keys, 'priority': 1, 'rate_per_s': 500, 'burst': 500
        },
        't-two': {
            'api_keys': [OTHER_KEY],
            'priority': 1,
            'rate_per_s': 500,
            'burst': 500,
        },
    }
    return stand2.build_configuration(number, routes, [OLD, NEW], tenants)


def run(record):
    """Runs the case; returns its result."""
    fleet = stand2.Fleet(record, ZONES)
    fleet.set_hosts(HOSTS)

    def serve(upstream, request, sock):
        record.write(f'{upstream.service} runs {request.id}')
        body = upstream.service.encode()
        sock.sendall(stand2.build_head(request, Content_Length=len(body)) + body)
        return True

    try:
        for number, host in enumerate(HOSTS):
            service, zone = (OLD, NEW)[number % 2], ZONES[number // 2]
            instance = f'i-{number}'
            server = stand2.Upstream(instance, host, serve)
            server.service = service
            address = f'{host}:{server.address[1]}'
            fleet.add_node(host, zone, service, address)
            fleet.store.put(
                f'servers/{instance}', stand2.build_entry(service, address, zone)
            )
        fleet.store.put('op/config', build(4, OLD, [FIRST_KEY]))
        fleet.start()
        time.sleep(4)
        return play(record, fleet)
    finally:
        fleet.end()


def play(record, fleet):
    """Sends requests before and after the changes."""
    # A version without a second key is put in force: a control.
    fleet.store.put('op/config', build(6, NEW, [FIRST_KEY]))
    time.sleep(CONFIG_APPLY_S + 1)
    if send(record, fleet, 'r6', '/public/', '') != {NEW: 8}:
        return stand2.COULD_NOT_RUN
    if send(record, fleet, 'r6', '/keyed/', FIRST_KEY) != {OLD: 8}:
        return stand2.COULD_NOT_RUN
    expected = NEW
    if stand2.TROUBLE:
        fleet.store.put('op/config', build(9, OLD, [FIRST_KEY, SECOND_KEY]))
        record.say(f'r9 is confirmed: /public/ goes back to {OLD}, a second key')
        expected = OLD
    time.sleep(CONFIG_APPLY_S + MAX_STRETCH_S)
    after = send(record, fleet, 'r9', '/public/', '')
    send(record, fleet, 'r9', '/keyed/', FIRST_KEY)
    send(record, fleet, 'r9', '/keyed/', SECOND_KEY)
    send(record, fleet, 'r9', '/keyed/', OTHER_KEY)
    return stand2.HELD if after == {expected: 8} else stand2.BROKEN


def send(record, fleet, label, prefix, key):
    """Sends requests to all nodes; returns who answered."""
    counts = {}
    for index in range(8):
        node = fleet.nodes[index % len(fleet.nodes)]
        request_id = f'{label}{prefix}{key[-3:]}{index}'.replace('/', '-')
        answer = stand2.send_request(
            node.outbound, 'POST', 'one.example', f'{prefix}{index}',
            request_id, key, 1500, b'{}',
        )
        who = answer.body.decode()
        if answer.status != 200:
            who = f'status {answer.status}'
        record.write(f'{request_id}: answer of {who}')
        counts[who] = counts.get(who, 0) + 1
    record.say(f'{label} {prefix} with key {key or "none"}: {counts}')
    return counts


stand2.run_case(HERE, run)
