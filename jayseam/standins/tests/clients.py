"""Clients of stand-ins that run inside the test process."""

from jayseam.standins import exchanges

HOST = '127.0.0.1'


class StandinClient:
    """Starts a stand-in and calls its control listener."""

    def __init__(self, standin):
        self.standin = standin
        standin.start()

    def control(self, action, **fields):
        address = (HOST, self.standin.control_port)
        return exchanges.call_control(address, f'/control/{action}', fields)

    def stop(self):
        self.standin.stop()


def provide_clients(make_client):
    """Yields a function that makes clients, and stops them afterwards."""
    clients = []

    def make(**settings):
        clients.append(make_client(**settings))
        return clients[-1]

    yield make
    for client in clients:
        client.stop()
