"""The platform's readiness checks, which take nodes out of service."""

import collections
from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent

from jayseam.core import clocks

_INTERVAL_S = 1.0
_MAX_MISSES = 2


@attrs.frozen
class Question:
    """A readiness check of a node.

    Attributes:
      ip: Address of the node.
      at: Time at which it was sent, in seconds.
      is_ready: Whether the node answered that it is ready.
    """

    ip: str
    at: float
    is_ready: bool


class Monitor:
    """Asks nodes once a second whether they are ready.

    Args:
      ips_by_zone: Addresses of the nodes of each zone.
      is_ready: Asks a node once.

    Attributes:
      questions: All questions in order of their answers.
    """

    def __init__(
        self,
        ips_by_zone: Mapping[str, Sequence[str]],
        is_ready: Callable[[str], bool],
    ):
        self.questions: list[Question] = []
        self._neighbours = {
            ip: ips for ips in ips_by_zone.values() for ip in ips
        }
        self._is_ready = is_ready
        self._misses: dict[str, int] = collections.defaultdict(int)

    def watch(self, ip: str, delay_s: float, duration_s: float) -> None:
        """Asks a node again and again.

        Args:
          ip: Address of the node.
          delay_s: Seconds until the first question.
          duration_s: Seconds until the last question.
        """
        due = clocks.read_now() + delay_s
        end = clocks.read_now() + duration_s
        while due < end:
            gevent.sleep(max(0.0, due - clocks.read_now()))
            asked = clocks.read_now()
            is_ready = self._is_ready(ip)
            self._misses[ip] = 0 if is_ready else self._misses[ip] + 1
            self.questions.append(Question(ip, asked, is_ready))
            due += _INTERVAL_S

    def is_out(self, ip: str) -> bool:
        """Returns whether callers are told to send a node no new requests.

        No node is out while fewer than half of its zone's nodes are in.
        """
        ips = self._neighbours[ip]
        n_in = sum(self._misses[other] < _MAX_MISSES for other in ips)
        return self._misses[ip] >= _MAX_MISSES and 2 * n_in >= len(ips)
