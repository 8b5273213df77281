"""Connections to an upstream are reset while answers without a length come."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand2  # pylint: disable=wrong-import-position

HOSTS = ('127.61.0.1', '127.61.0.2', '127.61.0.3')
ZONES = ('z-a', 'z-b', 'z-c')
SERVICE = 'refunds'
KEY = '6wsjnbanfqasnmgkcuyj'
# Whole bodies; the second half comes later, as from an upstream that streams.
BODY = bytes(range(97, 123)) * 400
HALF = len(BODY) // 2
PAUSE_S = 0.6
CLIENTS = 10
ROUNDS = 60
# No round begins later than this.
LAST_ROUND_S = 95
# The largest dose of `reset_conns`: 0.55 of the connections of 0.35 of the
# machines, here of one of three.
SHARE = 0.55


def serve(upstream, request, sock):
    """Runs a request; the answer has no length and ends with its connection."""
    del upstream
    sock.sendall(stand2.build_head(request, Connection='close') + BODY[:HALF])
    time.sleep(PAUSE_S)
    sock.sendall(BODY[HALF:])
    return False


def run(record):
    """Runs the case; returns its result."""
    fleet = stand2.Fleet(record, ZONES)
    fleet.set_hosts(HOSTS)
    proxies = []
    try:
        for number, (host, zone) in enumerate(zip(HOSTS, ZONES)):
            instance = f'i-{number}'
            upstream = stand2.Upstream(instance, host, serve)
            proxy = stand2.Proxy(host, upstream.address)
            proxies.append(proxy)
            address = f'{host}:{proxy.address[1]}'
            fleet.add_node(host, zone, SERVICE, address)
            fleet.store.put(
                f'servers/{instance}', stand2.build_entry(SERVICE, address, zone)
            )
        routes = {'r-one': stand2.build_route(
            'one.example', '/refunds/', 'unsafe', SERVICE, '3s'
        )}
        tenants = {'t-one': {
            'api_keys': [KEY], 'priority': 1, 'rate_per_s': 500, 'burst': 500
        }}
        fleet.store.put('op/config', stand2.build_configuration(
            7, routes, [SERVICE], tenants
        ))
        fleet.start()
        time.sleep(3.5)
        return play(record, fleet, proxies[0])
    finally:
        fleet.end()


def play(record, fleet, proxy):
    """Plays rounds of calls; in each, connections of one machine are reset."""
    counts = {}
    wrong = 0
    for number in range(ROUNDS):
        if stand2.now() > LAST_ROUND_S:
            break
        answers = [None] * CLIENTS

        def call(index):
            answers[index] = stand2.send_request(
                fleet.nodes[0].outbound, 'POST', 'one.example', '/refunds/1',
                f'r{number:02}-{index:02}', KEY, 3000, b'{}',
            )

        threads = [
            threading.Thread(target=call, args=(i,)) for i in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(PAUSE_S / 2)
        if stand2.TROUBLE:
            n_reset = proxy.reset_some(SHARE)
            record.write(f'round {number}: {n_reset} connections are reset')
        for thread in threads:
            thread.join()
        for index, answer in enumerate(answers):
            result = f'status {answer.status}'
            if 200 <= answer.status < 300:
                is_own = answer.body == BODY
                result += ' whole' if is_own else (
                    f' CUT: {len(answer.body)} of {len(BODY)} bytes'
                    if answer.is_whole else ' ends early, visibly'
                )
                wrong += answer.is_whole and not is_own
            record.write(f'r{number:02}-{index:02} gets {result}, signature '
                         f'{answer.fields.get("jayseam-response-signature")}')
            key = result.split(':')[0]
            counts[key] = counts.get(key, 0) + 1
        time.sleep(0.4)
    record.say(f'{counts}')
    if not counts.get('status 200 whole'):
        return stand2.COULD_NOT_RUN
    return stand2.BROKEN if wrong else stand2.HELD


stand2.run_case(HERE, run)
