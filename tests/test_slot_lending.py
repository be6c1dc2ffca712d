"""Borrowing a slot of a limit while the channel to the lender is dropped."""

import asyncio

from grpclib.server import Server

from rosepath.peer_channels import PeerChannels
from rosepath.proto import rosepath_pb2 as pb
from rosepath.proto.rosepath_grpc import PeersBase
from rosepath.slot_lending import SlotLending
from rosepath.tables import EntryVm, MemberState, Tables


class Lender(PeersBase):
    """Grant every slot; the other calls are not implemented."""

    async def Borrow(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.BorrowReply(granted=True))

    async def Return(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.ReturnReply())

    async def Exchange(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        raise NotImplementedError

    async def FetchConfiguration(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        raise NotImplementedError


def test_a_channel_dropped_while_a_call_starts_does_not_raise() -> None:
    # A failed call drops the channel of an unresponsive peer while another
    # request's call has already obtained the connection of that channel. An
    # uncaught error there makes that request fail with a 500.
    async def run() -> str | None:
        server = Server([Lender()])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        tables = Tables()
        tables.entry_vms["vm-2"] = EntryVm(
            name="vm-2",
            data_centre="a",
            address=f"127.0.0.1:{port}",
            incarnation=1,
            state=MemberState.ALIVE,
        )
        channels = PeerChannels(None)
        lending = SlotLending("vm-1", tables, channels, rows=dict)
        assert await lending.borrow("all", "q1") == "vm-2"
        channel = channels._channels[tables.entry_vms["vm-2"].address]
        protocol = channel._protocol
        channels.drop(tables.entry_vms["vm-2"].address)

        async def existing_connection() -> object:
            return protocol

        channel.__connect__ = existing_connection  # type: ignore[method-assign]
        channels._channels[tables.entry_vms["vm-2"].address] = channel
        try:
            return await lending.borrow("all", "q2")
        finally:
            server.close()

    assert asyncio.run(run()) is None
