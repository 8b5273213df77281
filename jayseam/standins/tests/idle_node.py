"""A minimal node: reads its settings, listens, and stops on SIGTERM."""

import json
import signal
import sys

import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.standins import serving


def main() -> None:
    with open(sys.argv[2], encoding='utf-8') as file:
        settings = json.load(file)
    status = {'state': 'serving', 'incarnation': clocks.read_wall_ms()}
    stop_requested = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    for name in ('admin', 'caller', 'link'):
        section = settings[name]
        address = (section['host'], section['port'])
        server = serving.ControlServer(address, {'/status': lambda _: status})
        server.start()
    stop_requested.wait()


if __name__ == '__main__':
    main()
