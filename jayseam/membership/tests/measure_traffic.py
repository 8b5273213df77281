"""Measures the traffic of idle members and the propagation of a change.

All members run in this process, with real links between them. Run
``python -m jayseam.membership.tests.measure_traffic MEMBERS ZONES SECONDS``.
Bytes are those of websocket frames, without TCP and IP headers.
"""

import sys
import time

import gevent

from jayseam.links import counters
from jayseam.membership.tests import members


def read_bytes():
    """Returns the byte counts by direction and message class."""
    return {
        (sample.labels['direction'], sample.labels['message']): sample.value
        for metric in counters.BYTES.collect()
        for sample in metric.samples
        if sample.name.endswith('_total')
    }


def measure_idle(count, duration_s):
    """Prints bytes and CPU time per second of an idle member."""
    before, cpu = read_bytes(), time.process_time()
    gevent.sleep(duration_s)
    after, cpu = read_bytes(), time.process_time() - cpu
    sums = {'sent': 0.0, 'received': 0.0}
    for (direction, name), value in sorted(after.items()):
        rate = (value - before.get((direction, name), 0)) / duration_s / count
        sums[direction] += rate
        if rate:
            print(f'  {direction} {name}: {rate:.1f} B/s')
    print(
        f'rest: sent={sums["sent"]:.0f} B/s received={sums["received"]:.0f} B/s'
        f' cpu={100 * cpu / duration_s / count:.2f} %'
    )


def measure_change(fleet):
    """Prints how long a change of one member takes to reach all others."""
    everyone = list(fleet.members.values())
    before = read_bytes()
    start = time.perf_counter()
    everyone[0].task.update_own_record(state='leaving')
    assert members.wait_until(
        lambda: all(m.state_of(everyone[0].vm) == 'leaving' for m in everyone)
    )
    spread_s = time.perf_counter() - start
    gevent.sleep(0.3)
    key = ('sent', 'MemberUpdate')
    spent = (read_bytes()[key] - before.get(key, 0)) / len(everyone)
    print(f'change: all in {1000 * spread_s:.0f} ms, {spent:.0f} B per member')


def main():
    """Starts the members and measures."""
    count, zones, duration_s = map(int, sys.argv[1:])
    with members.Fleet() as fleet:
        start = time.perf_counter()
        for i in range(count):
            fleet.add(f'vm-{i:03d}', zone=f'zone-{i % zones}')
        assert members.wait_until(lambda: fleet.views_agree(count), 60.0)
        print(f'start: one view after {time.perf_counter() - start:.2f} s')
        total = sum(v for k, v in read_bytes().items() if k[0] == 'sent')
        print(f'start: {total / count:.0f} B sent per member')
        gevent.sleep(5.0)
        measure_idle(count, duration_s)
        measure_change(fleet)


if __name__ == '__main__':
    main()
