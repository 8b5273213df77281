"""A request whose client has left is sent once more, to another upstream."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand  # pylint: disable=wrong-import-position

# As in the small site reprise-piles: give_up, share = 0.3, for_s = 5.5.
SHARE = 0.3
FOR_S = 5.5
PER_S = 20
# Clients leave within half of the objective.
LEAVES_AFTER_S = 0.25
LONG_MS = 1100
SHORT_MS = 60
DEADLINE_MS = 1500
STILL_AT_WORK_S = 0.5


def main(deployment):
    """Lets three in ten clients leave and looks at what still runs."""
    routes = [stand.build_route('leny950', public=True)]
    deployment.store.put('op/config', stand.build_configuration('r7', routes))
    entry = deployment.add_vm(1, 'points', 'wal-a')
    deployment.add_vm(2, 'points', 'wal-b')
    deployment.add_vm(3, 'points', 'wal-c')
    deployment.wait_until_ready()
    for _ in range(20):
        if deployment.call(entry, '/leny950/1', key='').status != 200:
            deployment.finish(2, 'no request was served before')
    left = {}
    threads = []
    count = int(PER_S * FOR_S)
    begun = time.monotonic()
    for number in range(count):
        time.sleep(max(0.0, begun + number / PER_S - time.monotonic()))
        leaves = int((number + 1) * SHARE) > int(number * SHARE)
        threads.append(
            threading.Thread(
                target=leave if leaves and deployment.trouble else stay,
                args=(deployment, entry, left, leaves),
            )
        )
        threads[-1].start()
    for thread in threads:
        thread.join()
    time.sleep(2.0)
    judge(deployment, left)


def stay(deployment, entry, left, is_long):
    """Sends a request and waits for its answer."""
    del left
    deployment.call(
        entry,
        '/leny950/2',
        key='',
        work_ms=LONG_MS if is_long else SHORT_MS,
        deadline_ms=DEADLINE_MS,
    )


def leave(deployment, entry, left, is_long):
    """Sends a request and closes the connection before its answer."""
    del is_long
    with deployment.connect(entry) as sock:
        request_id = deployment.send(
            sock,
            '/leny950/3',
            key='',
            work_ms=LONG_MS,
            deadline_ms=DEADLINE_MS,
        )
        time.sleep(LEAVES_AFTER_S)
    left[request_id] = time.monotonic()
    deployment.record.write(f'client leaves {request_id}')


def judge(deployment, left):
    """Checks the rule GONE for the requests whose clients have left."""
    counted, at_work, twice = 0, 0, 0
    for request_id, left_at in left.items():
        runs = [
            (at, upstream)
            for upstream in deployment.upstreams.values()
            for other, at, _ in upstream.runs
            if other == request_id
        ]
        if not runs:
            continue
        counted += 1
        twice += any(at > left_at for at, _ in runs)
        ends = [
            upstream.ended.get(request_id, upstream.dropped.get(request_id))
            for _, upstream in runs
        ]
        if any(end > left_at + STILL_AT_WORK_S for end in ends if end):
            at_work += 1
            deployment.record.write(
                f'still at work half a second later: {request_id}'
            )
    text = (
        f'of {counted} idempotent requests whose clients had left, {at_work}'
        f' were still at work half a second later; {twice} were sent to'
        ' another upstream after the client had left'
    )
    if not deployment.trouble:
        deployment.finish(0, 'no client left')
    if counted < 10:
        deployment.finish(2, text)
    deployment.finish(1 if at_work > counted / 4 else 0, text)


stand.run(main)
