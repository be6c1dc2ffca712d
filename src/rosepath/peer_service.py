"""The gRPC service for calls from other entry VMs."""

from grpclib import GRPCError
from grpclib.const import Status
from grpclib.server import Stream

from rosepath.configuration_exchange import ConfigurationExchange
from rosepath.peers import PeerNetwork
from rosepath.proto.rosepath_grpc import PeersBase
from rosepath.proto.rosepath_pb2 import (
    BorrowReply,
    BorrowRequest,
    ConfigurationBundle,
    FetchConfigurationRequest,
    GossipFrame,
    ReturnReply,
    ReturnRequest,
)
from rosepath.slot_lending import SlotLending


class PeerService(PeersBase):
    """Serve gossip, configuration fetches and slot lending to peers."""

    def __init__(
        self,
        network: PeerNetwork,
        configuration_exchange: ConfigurationExchange,
        lending: SlotLending,
    ) -> None:
        self._network = network
        self._configuration_exchange = configuration_exchange
        self._lending = lending

    async def Exchange(  # noqa: N802
        self, stream: "Stream[GossipFrame, GossipFrame]"
    ) -> None:
        frame = await stream.recv_message()
        if frame is None:
            return
        if not self._network.accepts_frame(frame):
            raise GRPCError(
                Status.FAILED_PRECONDITION, "another deployment, protocol or sender"
            )
        await stream.send_message(self._network.handle_exchange(frame))

    async def FetchConfiguration(  # noqa: N802
        self, stream: "Stream[FetchConfigurationRequest, ConfigurationBundle]"
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._configuration_exchange.bundle_for(request))

    async def Borrow(  # noqa: N802
        self, stream: "Stream[BorrowRequest, BorrowReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            granted = self._lending.handle_borrow(request)
            await stream.send_message(BorrowReply(granted=granted))

    async def Return(  # noqa: N802
        self, stream: "Stream[ReturnRequest, ReturnReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            self._lending.handle_return(request)
            await stream.send_message(ReturnReply())
