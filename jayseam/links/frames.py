"""Authentication and ordering of the frames of one link.

A frame consists of a 16-byte MAC and the body. The MAC is a keyed BLAKE2b over
the direction, a frame counter and the body. The counter is not sent: both sides
count frames, so the MAC does not match if a frame is replayed, lost or
reordered.

>>> sealer = Sealer(b'k' * 32, TO_ACCEPTOR)
>>> opener = Opener(b'k' * 32, TO_ACCEPTOR)
>>> opener.open(sealer.seal(b'body'))
b'body'

References:
  RFC 7693 (BLAKE2).
"""

import hashlib
import hmac

from jayseam.links import errors

MAC_BYTES = 16
MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_BODY_BYTES = MAX_FRAME_BYTES - MAC_BYTES
TO_ACCEPTOR = b'\0'
TO_DIALLER = b'\1'


class _FrameMac:
    """Computes the MACs of one direction with a frame counter."""

    def __init__(self, key: bytes, direction: bytes):
        # Hashing the key block only once and copying the state halves the
        # cost of the MAC of a small frame.
        self._keyed = hashlib.blake2b(direction, key=key, digest_size=MAC_BYTES)
        self._count = 0

    def _authenticate(self, body) -> bytes:
        state = self._keyed.copy()
        state.update(self._count.to_bytes(8, 'big'))
        state.update(body)
        self._count += 1
        return state.digest()


class Sealer(_FrameMac):
    """Adds MACs to the bodies that this side sends.

    Args:
      key: Session key of the link.
      direction: ``TO_ACCEPTOR`` or ``TO_DIALLER``.
    """

    def seal(self, body: bytes) -> bytes:
        """Returns the frame of ``body``.

        Raises:
          TooLargeError: If the frame would exceed ``MAX_FRAME_BYTES``.
        """
        if len(body) > MAX_BODY_BYTES:
            raise errors.TooLargeError(
                f'body of {len(body)} bytes is too large'
            )
        return self._authenticate(body) + body


class Opener(_FrameMac):
    """Verifies the MACs of the frames that this side receives.

    Args:
      key: Session key of the link.
      direction: ``TO_ACCEPTOR`` or ``TO_DIALLER``.
    """

    def open(self, frame: bytes) -> bytes:
        """Returns the body of ``frame``.

        Raises:
          FrameError: If the MAC is wrong for the next counter value.
          TooLargeError: If the frame exceeds ``MAX_FRAME_BYTES``.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise errors.TooLargeError(
                f'frame of {len(frame)} bytes is too large'
            )
        view = memoryview(frame)
        body = view[MAC_BYTES:]
        mac = self._authenticate(body)
        if not hmac.compare_digest(mac, view[:MAC_BYTES]):
            raise errors.FrameError('MAC does not match')
        return bytes(body)
