"""UDP link between entry VMs: state messages and adapter requests."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import cast

from rosepath.clock import Clock
from rosepath.peer_messages import (
    AdapterReply,
    AdapterRequest,
    ForwardedState,
    Message,
    PeerState,
    decode,
    encode,
)
from rosepath.peer_table import PeerTable
from rosepath.quota_messages import (
    QuotaMessage,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from rosepath.scheduling_messages import (
    AssignmentQuery,
    AssignmentReply,
    RunListRequest,
    RunReports,
    SchedulingMessage,
    Withdrawal,
)
from rosepath.settings import split_address
from rosepath.stream_origin_messages import (
    OriginMessage,
    OriginNotice,
    OriginQuery,
    OriginReply,
)

# An unanswered adapter request is sent again after this, as its datagram or the
# reply may be lost. The round trip takes about 2 ms and the load order that it
# causes about 20 ms.
RESEND_AFTER_S = 0.08
# A VM that was paused for longer does not forward the messages it finds: they
# may have waited in its socket all that time.
MAX_PAUSE_S = 0.5

OnAdapterRequest = Callable[[AdapterRequest], Awaitable[bool]]


class PeerLink(asyncio.DatagramProtocol):
    """Own the UDP socket and the adapter requests that await a reply."""

    def __init__(
        self,
        address: str,
        table: PeerTable,
        *,
        clock: Clock,
        describe: Callable[[str, int], PeerState],
        on_state: Callable[[PeerState], None],
        on_adapter_request: OnAdapterRequest,
        data_centre: str = "",
        boot_clock: Clock | None = None,
    ) -> None:
        self.on_quota_message: Callable[[QuotaMessage], None] = lambda _: None
        self.on_scheduling_message: Callable[[SchedulingMessage], None] = lambda _: None
        self.on_origin_message: Callable[[OriginMessage], None] = lambda _: None
        self.address = address
        self._data_centre = data_centre
        # Includes the time for which the machine was suspended.
        self._boot_clock = boot_clock or clock
        self._last_running_s = -1e9
        self._table = table
        self._clock = clock
        self._describe = describe
        self._on_state = on_state
        self._on_adapter_request = on_adapter_request
        self.start = uuid.uuid4().hex[:8]
        self._number = 0
        self._rng = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._pending_replies: dict[str, asyncio.Future[bool]] = {}
        self._requests_in_progress: set[str] = set()

    async def listen(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(self.address)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The selector loop's transport has the methods of DatagramTransport
        # but is not a subclass.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def note_running(self) -> None:
        """Record that this process is running; call several times a second."""
        self._last_running_s = self._boot_clock.monotonic_s()

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        match decode(data):
            case PeerState() as state:
                self._apply_state(state)
            case ForwardedState() as forwarded:
                self._forward(forwarded)
                match decode(forwarded.payload):
                    case PeerState() as state:
                        self._apply_state(state.delayed_by(forwarded.delay_s))
            case AdapterRequest() as request:
                # A request that is resent while the first is in progress must
                # not be executed twice.
                if request.adapter_request_id not in self._requests_in_progress:
                    self._requests_in_progress.add(request.adapter_request_id)
                    asyncio.ensure_future(self._reply(request))
            case QuotaRequest() | QuotaReply() | QuotaReturn() as quota_message:
                self.on_quota_message(quota_message)
            case (
                AssignmentQuery()
                | AssignmentReply()
                | RunListRequest()
                | RunReports()
                | Withdrawal()
            ) as scheduling_message:
                self.on_scheduling_message(scheduling_message)
            case OriginNotice() | OriginQuery() | OriginReply() as origin_message:
                self.on_origin_message(origin_message)
            case AdapterReply() as reply:
                pending = self._pending_replies.get(reply.adapter_request_id)
                if pending is not None and not pending.done():
                    pending.set_result(reply.ready)

    def _apply_state(self, state: PeerState) -> None:
        if self._table.apply_state(state):
            self._on_state(state)

    def _forward(self, forwarded: ForwardedState) -> None:
        """Forward the holder's state message to the rest of this data centre.

        After a VM was frozen or suspended, the messages in its socket are
        older than their reported ages. Forwarded unchanged, they would claim
        that tables were read more recently than they were.
        """
        paused_s = self._boot_clock.monotonic_s() - self._last_running_s
        if not forwarded.forward_to or paused_s > MAX_PAUSE_S:
            return
        data = encode(ForwardedState(payload=forwarded.payload, delay_s=paused_s))
        for address in forwarded.forward_to:
            self._send_data(data, address)

    async def run(self) -> None:
        """Send this VM's state message at each interval, indefinitely."""
        while True:
            self.send_state()
            await asyncio.sleep(self._table.interval_s)

    def send_state(self) -> None:
        """Send this VM's state message now."""
        self._number += 1
        state = self._describe(self.start, self._number)
        data = encode(state)
        if state.term > 0 and self._table.large_fleet:
            for peer, forward_to in self._table.hops(self._data_centre, rng=self._rng):
                message = (
                    encode(ForwardedState(payload=data, forward_to=forward_to))
                    if forward_to
                    else data
                )
                self._send_data(message, peer.address)
            return
        for peer in self._table.state_recipients(holding=state.term > 0, rng=self._rng):
            self._send_data(data, peer.address)

    async def request_adapter(
        self, request: AdapterRequest, address: str, *, limit_s: float
    ) -> bool:
        """Send an adapter request; False if refused or unanswered in time."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_replies[request.adapter_request_id] = future
        deadline_s = self._clock.monotonic_s() + limit_s
        try:
            while (left_s := deadline_s - self._clock.monotonic_s()) > 0:
                self.send(request, address)
                done, _ = await asyncio.wait(
                    [future], timeout=min(left_s, RESEND_AFTER_S)
                )
                if done:
                    return future.result()
            return False
        finally:
            del self._pending_replies[request.adapter_request_id]

    async def _reply(self, request: AdapterRequest) -> None:
        try:
            ready = await self._on_adapter_request(request)
            self.send(
                AdapterReply(
                    adapter_request_id=request.adapter_request_id, ready=ready
                ),
                request.reply_to,
            )
        finally:
            self._requests_in_progress.discard(request.adapter_request_id)

    def send(self, message: Message, address: str) -> None:
        """Send a message to an entry VM; it may be lost."""
        self._send_data(encode(message), address)

    def _send_data(self, data: bytes, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))
