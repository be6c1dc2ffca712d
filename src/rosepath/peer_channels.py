"""gRPC channels to other entry VMs, replaced after a failed call."""

import ssl

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from rosepath.proto.rosepath_grpc import PeersStub
from rosepath.settings import split_address

# AttributeError: dropping a channel also removes the transport of another call
# that is just starting on it, and grpclib then raises AttributeError. If not
# caught, it fails a caller's request with a 500 although only a peer is
# unreachable.
CALL_FAILURES = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    AttributeError,
)
CALL_TIMEOUT_S = 1.0


class PeerChannels:
    """Own one gRPC channel per peer address."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    def stub(self, address: str) -> PeersStub:
        """Return a stub for calls to a peer, opening a channel if needed."""
        if address not in self._channels:
            host, port = split_address(address)
            self._channels[address] = Channel(host, port, ssl=self._tls)
        return PeersStub(self._channels[address])

    def drop(self, address: str) -> None:
        """Close a peer's channel.

        A connection that stopped responding does not recover, so the next
        call must open a new one.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            self.drop(address)
