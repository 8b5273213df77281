"""State of a call to the backend server while it is in progress."""

import attrs

from jayseam.backends import connections
from jayseam.backends import messages


@attrs.define(eq=False)
class Call:
    """A call in progress.

    Attributes:
      request: The call.
      deadline: Time by which it must finish, in seconds.
      connection: Connection that carries it, once there is one.
      sent_at: Time before the first byte was written, in seconds.
      sent: Whether any byte of the request was written.
      in_flight: Calls in progress at `sent_at`, including this one.
      cancelled: Whether `BackendClient.cancel` was called for it.
      is_control: Whether it is a poll or a cancellation; these are never
        cancelled themselves.
      is_identified: Whether its answer has its id, where answers have ids,
        and no answer to another request came before it.
      out_of_memory: Whether its answer was ended because all answers together
        held too many bytes.
    """

    request: messages.BackendRequest
    deadline: float
    connection: connections.Connection | None = None
    sent_at: float = 0.0
    sent: bool = False
    in_flight: int = 0
    cancelled: bool = False
    is_control: bool = False
    is_identified: bool = True
    out_of_memory: bool = False
