"""Options that every TCP socket of jayseam carries."""

import socket


def set_nodelay(sock: socket.socket) -> None:
    """Disables Nagle's algorithm on a connected TCP socket.

    Nagle's algorithm combined with delayed acknowledgements adds about 43 ms
    to each hop of a call.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
