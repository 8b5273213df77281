"""A withdrawn key keeps working if the new version has a large number."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand  # pylint: disable=wrong-import-position

REVOKE_S = 5.0
WATCHED_S = 12.0
FIRST_VERSION = 'r2026'
NEXT_VERSION = 'r2027'
# Date and number of the day's change, in the manner of zone serials.
LARGE_VERSION = 'r2026120501'


def main(deployment):
    """Withdraws a key by a new version and goes on using it."""
    routes = [stand.build_route('leny950')]
    deployment.store.put(
        'op/config', stand.build_configuration(FIRST_VERSION, routes)
    )
    ips = [
        deployment.add_vm(number, 'points', zone)
        for number, zone in enumerate(('wal-a', 'wal-b', 'wal-c'), 1)
    ]
    deployment.wait_until_ready()
    for ip in ips:
        for key in (stand.KEY, stand.OTHER_KEY):
            if deployment.call(ip, '/leny950/1', key=key).status != 200:
                deployment.finish(2, 'a key was refused before the change')
    version = LARGE_VERSION if deployment.trouble else NEXT_VERSION
    confirmed = deployment.store.put(
        'op/config',
        stand.build_configuration(version, routes, keys=(stand.OTHER_KEY,)),
    )
    deployment.record.write(f'store confirms {version}: {stand.KEY} withdrawn')
    late_ids, served = set(), 0
    while time.monotonic() < confirmed + WATCHED_S:
        for ip in ips:
            request_id = deployment.make_id()
            if time.monotonic() > confirmed + REVOKE_S + 0.1:
                late_ids.add(request_id)
            deployment.call(ip, '/leny950/1', request_id=request_id)
            reply = deployment.call(ip, '/leny950/1', key=stand.OTHER_KEY)
            served += reply.status == 200
        time.sleep(0.5)
    ran = [
        request_id
        for upstream in deployment.upstreams.values()
        for request_id, _, _ in upstream.runs
        if request_id in late_ids
    ]
    if ran:
        deployment.finish(
            1,
            f'CONFIG: {len(ran)} of {len(late_ids)} requests with a key that'
            f' {version} took away ran, sent more than {REVOKE_S} s after its'
            ' confirmation',
        )
    if not served:
        deployment.finish(2, 'the key that stays was not served either')
    deployment.finish(0, f'none of {len(late_ids)} late requests ran')


stand.run(main)
