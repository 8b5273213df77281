"""Measures latency and throughput of one link between two processes.

Run ``python -m jayseam.links.tests.measure_round_trip``.
"""

import subprocess
import sys
import time

import gevent
from hdrh import histogram

from jayseam.links.tests import nodes

REQUESTS = 10_000
BODY = bytes(1024)


def measure(links, senders):
    """Prints percentiles of the round-trip time and the request rate."""
    times = histogram.HdrHistogram(1, 10_000_000, 3)

    def send():
        for _ in range(REQUESTS // senders):
            start = time.perf_counter_ns()
            links.request('server', nodes.Echo(BODY), 5.0)
            times.record_value((time.perf_counter_ns() - start) // 1000)

    start = time.perf_counter()
    gevent.joinall([gevent.spawn(send) for _ in range(senders)])
    rate = REQUESTS / (time.perf_counter() - start)
    p50, p99 = (times.get_value_at_percentile(p) for p in (50, 99))
    print(f'senders={senders} p50_us={p50} p99_us={p99} per_s={rate:.0f}')


def main():
    """Runs the measuring process or, with ``--serve``, the server."""
    with nodes.Fleet() as fleet:
        if '--serve' in sys.argv:
            print(fleet.add('server').address[1], flush=True)
            gevent.sleep(60.0)
            return
        command = [sys.executable, '-m', __spec__.name, '--serve']
        with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
            fleet.addresses['server'] = (
                '127.0.0.1',
                int(server.stdout.readline()),
            )
            links = fleet.add('client')
            for senders in (1, 1, 10, 100):
                measure(links, senders)
            server.kill()


if __name__ == '__main__':
    main()
