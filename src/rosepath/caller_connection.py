"""Connections of callers: when what they hold arrived."""

import socket
import struct

# Of the kernel's `struct tcp_info`: the milliseconds since data last arrived.
_LAST_RECEIVED_OFFSET = 52
_LAST_RECEIVED = struct.Struct("I")


def unread_for_s(sock: socket.socket) -> float:
    """Return how long ago data last arrived on a connection; 0 if unknown.

    Called as data is read, this is how long the last of it has waited.
    """
    size = _LAST_RECEIVED_OFFSET + _LAST_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        (ago_ms,) = _LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0.0
    return float(ago_ms) / 1000
