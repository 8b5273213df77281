"""A withdrawn key stops late after a quick succession of other changes."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand  # pylint: disable=wrong-import-position

CONFIG_APPLY_S = 2.0
WATCHED_S = 3.0
# As in the small site reprise-piles: config_storm, for_s = 5.0, gap_s = 0.22.
STORM_S = 5.0
GAP_S = 0.22
N_ROUNDS = 11
ZONES = ('wal-a', 'wal-b', 'wal-c')


def build(number, keys):
    """Returns a version in which a time-out of an idle route is new."""
    routes = [
        stand.build_route('leny950'),
        stand.build_route('idle', timeout=f'{1000 + number % 500}ms'),
    ]
    return stand.build_configuration(f'r{number}', routes, keys)


def main(deployment):
    """Withdraws keys after storms and goes on using them."""
    keys = [f'{index:02d}{stand.KEY[2:]}' for index in range(N_ROUNDS + 1)]
    number = 7
    deployment.store.put('op/config', build(number, keys))
    ips = [
        deployment.add_vm(index, 'points', zone)
        for index, zone in enumerate(ZONES, 1)
    ]
    deployment.wait_until_ready()
    for ip in ips:
        if deployment.call(ip, '/leny950/1', key=keys[0]).status != 200:
            deployment.finish(2, 'no request was served before the change')
    late_ids = set()
    for step in range(N_ROUNDS):
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            if deployment.trouble:
                number += 2
                deployment.store.put('op/config', build(number, keys[step:]))
            time.sleep(GAP_S)
        number += 2
        confirmed = deployment.store.put(
            'op/config', build(number, keys[step + 1 :])
        )
        deployment.record.write(
            f'store confirms r{number}: {keys[step]} is withdrawn'
        )
        use_key(deployment, ips, keys[step], confirmed, late_ids)
    ran = [
        request_id
        for upstream in deployment.upstreams.values()
        for request_id, _, _ in upstream.runs
        if request_id in late_ids
    ]
    text = (
        f'{len(ran)} requests with withdrawn keys ran that were sent more than'
        f' {CONFIG_APPLY_S} s after the confirmation'
    )
    deployment.finish(1 if ran else 0, f'CONFIG: {text}' if ran else text)


def use_key(deployment, ips, key, confirmed, late_ids):
    """Uses a withdrawn key until no node takes it, or for some seconds."""
    while time.monotonic() < confirmed + WATCHED_S:
        taken = False
        for ip in ips:
            request_id = deployment.make_id()
            if time.monotonic() > confirmed + CONFIG_APPLY_S:
                late_ids.add(request_id)
            reply = deployment.call(
                ip, '/leny950/1', key=key, request_id=request_id
            )
            taken = taken or reply.status == 200
        if not taken:
            return
        time.sleep(0.1)


stand.run(main)
