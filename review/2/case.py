"""A stopping node cuts requests that are still at work at their upstreams."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand  # pylint: disable=wrong-import-position

GRACE_S = 6.0
QUESTION_INTERVAL_S = 1.0
# Times after the SIGTERM, in seconds. The platform asks for readiness 0.7 s
# and 1.7 s after it, and clients send until it has counted two misses.
QUESTION_PHASE_S = 0.7
SENT_AFTER_S = (0.6, 1.0, 1.5)
WORK_MS = 2300
DEADLINE_MS = 2500


class Platform:
    """Asks a node for readiness once a second and counts misses in a row."""

    def __init__(self, deployment, ip):
        self._deployment = deployment
        self._ip = ip
        self.misses = 0
        self.next_at = time.monotonic()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            time.sleep(max(0.0, self.next_at - time.monotonic()))
            if self._deployment.is_ready(self._ip):
                self.misses = 0
            else:
                self.misses += 1
                self._deployment.record.write(
                    f'platform: {self.misses} misses in a row'
                )
            self.next_at += QUESTION_INTERVAL_S


def main(deployment):
    """Sends requests during a planned stop and waits for their answers."""
    routes = [
        stand.build_route(
            'puka111', kind='unsafe', service='credits', timeout='2500ms'
        )
    ]
    deployment.store.put('op/config', stand.build_configuration('r7', routes))
    entry = deployment.add_vm(1, 'points', 'wal-a')
    deployment.add_vm(2, 'credits', 'wal-a')
    deployment.add_vm(3, 'credits', 'wal-b')
    deployment.wait_until_ready()
    for _ in range(5):
        reply = deployment.call(entry, '/puka111/1', method='POST')
        if reply.status != 200:
            deployment.finish(2, 'no request was served before the stop')
    platform = Platform(deployment, entry)
    time.sleep(0.1)
    stopped = platform.next_at - QUESTION_PHASE_S
    time.sleep(max(0.0, stopped - time.monotonic()))
    if deployment.trouble:
        deployment.record.write(f'SIGTERM to the node of {entry}')
        deployment.nodes[entry].send_signal(signal.SIGTERM)
    results = []
    threads = [
        threading.Thread(
            target=send,
            args=(deployment, entry, stopped + after, platform, results),
        )
        for after in SENT_AFTER_S
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1.5)
    judge(deployment, stopped, results)


def send(deployment, entry, at, platform, results):
    """Sends one request at a time and adds what became of it."""
    time.sleep(max(0.0, at - time.monotonic()))
    if platform.misses >= 2:
        return
    try:
        with deployment.connect(entry) as sock:
            sent = time.monotonic()
            request_id = deployment.send(
                sock,
                '/puka111/2',
                method='POST',
                work_ms=WORK_MS,
                deadline_ms=DEADLINE_MS,
            )
            reply = deployment.receive(sock, request_id)
    except OSError as error:
        deployment.record.write(f'client: {error!r}')
        return
    results.append((request_id, sent, time.monotonic(), reply))


def judge(deployment, stopped, results):
    """Checks the rule LOST for each request, with its excuses."""
    served = refused = 0
    for request_id, sent, answered, reply in sorted(
        results, key=lambda r: r[1]
    ):
        started, ended = None, None
        for upstream in deployment.upstreams.values():
            for other, at, _ in upstream.runs:
                if other == request_id:
                    started = at
                    ended = at + WORK_MS / 1000
        if started is None:
            refused += 1
            continue
        if reply.status == 200 and reply.whole and reply.signature:
            served += 1
            continue
        # Excused: the time budget and the route's timeout were reached, or
        # the upstream was at work in the last sixth of `grace`.
        if answered - sent >= DEADLINE_MS / 1000 - 0.05:
            continue
        if ended - stopped >= GRACE_S * 5 / 6:
            continue
        if answered < ended - 0.1:
            deployment.finish(
                1,
                f'LOST: {request_id} sent {sent - stopped:.2f} s after the'
                f' SIGTERM got status {reply.status} at'
                f' {answered - stopped:.2f} s, {ended - answered:.2f} s before'
                ' the end of its work',
            )
    if served + refused == 0:
        deployment.finish(2, 'no request was answered')
    deployment.finish(0, f'{served} served, {refused} refused as not run')


stand.run(main)
