"""Errors of the links between nodes."""

from jayseam.core import errors


class LinkError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class NotSentError(LinkError):
    """No byte of the message was or will be written to a socket."""


class DialError(NotSentError):
    """No link to the other node could be opened."""


class ReplyLostError(LinkError):
    """The message may have been delivered, but no reply was received."""


class RemoteError(LinkError):
    """The handler at the other node raised an exception.

    Attributes:
      kind: Class name of the remote exception, or ``no-handler`` or
        ``overloaded`` if no handler ran.
      text: Message of the remote exception.
    """

    def __init__(self, kind: str, text: str):
        super().__init__(f'{kind}: {text}')
        self.kind = kind
        self.text = text


class ProtocolError(LinkError):
    """The other node violated the link protocol; the link must be closed.

    Attributes:
      reason: Short stable name, used as the label of the close counter.
    """

    reason = 'protocol'

    def __init__(self, text: str, reason: str | None = None):
        super().__init__(text)
        if reason is not None:
            self.reason = reason


class HandshakeError(ProtocolError):
    """The handshake failed, for example because no secret is shared."""

    reason = 'handshake'


class FrameError(ProtocolError):
    """A frame has a wrong MAC: replayed, forged, out of order or too short."""

    reason = 'bad_mac'


class TooLargeError(ProtocolError):
    """A frame or message exceeds the size limit."""

    reason = 'too_large'


class UnknownTypeError(ProtocolError):
    """A message carries a type code that is not registered."""

    reason = 'unknown_type'


class MessageError(ProtocolError):
    """A message has malformed content or fields of the wrong type."""

    reason = 'bad_message'


class TransportClosedError(LinkError):
    """The connection has ended.

    Attributes:
      reason: Short stable name, used as the label of the close counter.
    """

    def __init__(self, reason: str):
        super().__init__(f'connection ended: {reason}')
        self.reason = reason
