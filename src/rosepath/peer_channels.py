"""Channels to other entry VMs, replaced when a call over one fails."""

import ssl

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from rosepath.proto.rosepath_grpc import PeersStub
from rosepath.settings import split_address

# A channel that one call drops takes its transport from another that is just
# beginning there; the library then fails with AttributeError, and the caller
# of that request got a 500 while only a peer was not reached.
CALL_FAILURES = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    AttributeError,
)
CALL_TIMEOUT_S = 1.0


class PeerChannels:
    """Hold one channel a peer."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    def stub(self, address: str) -> PeersStub:
        """Return the calls of a peer, over its channel."""
        if address not in self._channels:
            host, port = split_address(address)
            self._channels[address] = Channel(host, port, ssl=self._tls)
        return PeersStub(self._channels[address])

    def drop(self, address: str) -> None:
        """Close a peer's channel.

        A connection that went silent stays silent: the next call must go
        over a new one.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            self.drop(address)
