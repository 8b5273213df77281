"""A key is given and withdrawn in a storm of changes, and a machine is lost."""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand2  # pylint: disable=wrong-import-position

# With ZONES=3, three zones of four machines each; the first reader of each zone
# is lost.
ZONES = ('z-a', 'z-b', 'z-c')[: int(os.environ.get('ZONES', '1'))]
MACHINES = {
    f'127.71.{number}.{index}': zone
    for number, zone in enumerate(ZONES)
    for index in range(1, 5)
}
SERVICE = 'points'
KEY = '6wsjnbanfqasnmgkcuyj'
# The key that is given and withdrawn.
OTHER_KEY = '8pjbvk9m68k7b2ex5wa5'
REVOKE_S = 5.0
# Pause between two changes, as of `config_storm` in the site files.
GAP_S = 0.3
CHANGES_BEFORE = 7
# Time between an earlier change and the storm.
CALM_S = 2.2
# Time between the change and the loss of the machine (`after_ack_kill`,
# timed: 5 to 400 ms after the change was sent).
LOSS_AFTER_S = 0.25
# The store removes an entry after three heartbeats of silence.
EXPIRY_S = 4.5


class Upstreams:
    """The upstreams of all machines, and what they ran."""

    def __init__(self, record):
        self._record = record
        self.ran = {}

    def serve(self, upstream, request, sock):
        """Runs a request."""
        self.ran[request.id] = stand2.now()
        self._record.write(
            f'{upstream.instance} runs {request.id} for tenant '
            f'{request.fields.get("jayseam-tenant")}'
        )
        sock.sendall(stand2.build_head(request, Content_Length=2) + b'ok')
        return True


def build(number, keys):
    """Returns a version of the configuration."""
    routes = {
        'r-one': stand2.build_route(
            'one.example', '/points/', 'safe', SERVICE, '1200ms'
        ),
        # What the storm changes.
        'r-idle': stand2.build_route(
            'idle.example', f'/idle{number}/', 'safe', SERVICE, '1200ms'
        ),
    }
    tenants = {
        't-one': {
            'api_keys': [KEY], 'priority': 1, 'rate_per_s': 500, 'burst': 500
        },
        't-two': {
            'api_keys': keys, 'priority': 1, 'rate_per_s': 500, 'burst': 500
        },
    }
    return stand2.build_configuration(number, routes, [SERVICE], tenants)


def run(record):
    """Runs the case; returns its result."""
    fleet = stand2.Fleet(record, ZONES)
    fleet.set_hosts(list(MACHINES))
    upstreams = Upstreams(record)
    try:
        servers = {}
        for number, (host, zone) in enumerate(MACHINES.items()):
            instance = f'i-{number}'
            server = stand2.Upstream(instance, host, upstreams.serve)
            servers[host] = server
            address = f'{host}:{server.address[1]}'
            fleet.add_node(host, zone, SERVICE, address)
            fleet.store.put(
                f'servers/{instance}', stand2.build_entry(SERVICE, address, zone)
            )
        fleet.store.put('op/config', build(1, []))
        fleet.start()
        time.sleep(4)
        return play(record, fleet, upstreams, servers)
    finally:
        fleet.end()


def find_first_readers(fleet):
    """Returns the node of each zone that asks the store most often."""
    name = 'jayseam_platform_requests_total'
    before = {n.host: n.read_metric(name) for n in fleet.nodes}
    time.sleep(6)
    reads = {n: n.read_metric(name) - before[n.host] for n in fleet.nodes}
    fleet.record.write(f'reads in 6 s: { {n.host: r for n, r in reads.items()} }')
    return [
        max((n for n in fleet.nodes if n.zone == zone), key=reads.get)
        for zone in ZONES
    ]


def play(record, fleet, upstreams, servers):
    """Plays the storm and the loss, then sends requests with the key."""
    number = 1

    def change(keys, what):
        nonlocal number
        number += 1
        at = fleet.store.put('op/config', build(number, keys))
        record.write(f'r{number} is confirmed: {what}')
        return at

    lost = find_first_readers(fleet)
    change([], 'a route')
    time.sleep(CALM_S)
    for _ in range(CHANGES_BEFORE):
        change([], 'a route')
        time.sleep(GAP_S)
    change([OTHER_KEY], f'a route, and the key {OTHER_KEY} is given to t-two')
    time.sleep(LOSS_AFTER_S)
    if stand2.TROUBLE:
        for node in lost:
            node.process.kill()
        for node in lost:
            servers[node.host].close()
            record.say(f'machine {node.host} is lost for good')
            key = f'servers/i-{fleet.nodes.index(node)}'
            threading.Timer(EXPIRY_S, fleet.store.delete, (key,)).start()
    time.sleep(GAP_S - LOSS_AFTER_S)
    withdrawn_at = change([], f'a route, and the key {OTHER_KEY} is withdrawn')
    for _ in range(5):
        time.sleep(GAP_S)
        change([], 'a route')
    others = [node for node in fleet.nodes if node not in lost]
    time.sleep(max(0.0, withdrawn_at + REVOKE_S + 0.2 - stand2.now()))
    served, ran_late, sent = 0, 0, 0
    for turn in range(12):
        for node in others:
            own_id, other_id = f'a{turn:02}{node.host}', f'b{turn:02}{node.host}'
            answer = send(node, own_id, KEY)
            served += answer.status == 200
            sent_at = stand2.now()
            answer = send(node, other_id, OTHER_KEY)
            sent += 1
            ran = other_id in upstreams.ran
            ran_late += ran
            record.write(
                f'{other_id} with the withdrawn key, sent '
                f'{sent_at - withdrawn_at:.2f} s after the confirmation: '
                f'status {answer.status}, {"RAN" if ran else "not run"}'
            )
        time.sleep(0.5)
    record.say(
        f'{ran_late} of {sent} requests with a key withdrawn over '
        f'{REVOKE_S} s before ran; {served} of {sent} with a valid one served'
    )
    if not served:
        return stand2.COULD_NOT_RUN
    return stand2.BROKEN if ran_late else stand2.HELD


def send(node, request_id, key):
    """Sends a request to a node."""
    return stand2.send_request(
        node.outbound, 'GET', 'one.example', '/points/1', request_id, key, 1200
    )


stand2.run_case(HERE, run)
