"""Datagrams between entry VMs: state to all, questions to the holder."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import cast

from rosepath.clock import Clock
from rosepath.peer_messages import (
    AdapterAsk,
    AdapterReply,
    Forwarded,
    Message,
    PeerState,
    decode,
    encode,
)
from rosepath.peer_table import PeerTable
from rosepath.settings import split_address

# A question crosses and comes back in two milliseconds, and the order behind
# it takes twenty; a lost datagram is sent again after this.
ASK_AGAIN_S = 0.08

# How long a VM may have done nothing before a word that it finds is too old to be
# forwarded: it may have lain there all the time.
ASLEEP_S = 0.5

OnAsk = Callable[[AdapterAsk], Awaitable[bool]]


class PeerLink(asyncio.DatagramProtocol):
    """Hold the socket, and the questions that wait for their answers."""

    def __init__(
        self,
        address: str,
        table: PeerTable,
        *,
        clock: Clock,
        describe: Callable[[str, int], PeerState],
        on_state: Callable[[PeerState], None],
        on_ask: OnAsk,
        data_centre: str = "",
        boot_clock: Clock | None = None,
    ) -> None:
        self.address = address
        self._data_centre = data_centre
        # Counts the time that the machine was suspended, too.
        self._boot = boot_clock or clock
        self._awake_s = -1e9
        self._table = table
        self._clock = clock
        self._describe = describe
        self._on_state = on_state
        self._on_ask = on_ask
        self.start = uuid.uuid4().hex[:8]
        self._number = 0
        self._rng = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: dict[str, asyncio.Future[bool]] = {}
        self._answering: set[str] = set()

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
        # The selector loop's transport is none by type, only by its methods.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def note_awake(self) -> None:
        """Note that this VM runs; to be called several times a second."""
        self._awake_s = self._boot.monotonic_s()

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        match decode(data):
            case PeerState() as state:
                self._take(state)
            case Forwarded() as forwarded:
                self._forward(forwarded)
                match decode(forwarded.word):
                    case PeerState() as state:
                        self._take(state.late_by(forwarded.late_s))
            case AdapterAsk() as ask:
                # A question that was sent again while its answer is on its
                # way must not be carried out twice at the same time.
                if ask.ask_id not in self._answering:
                    self._answering.add(ask.ask_id)
                    asyncio.ensure_future(self._answer(ask))
            case AdapterReply() as reply:
                waiting = self._waiting.get(reply.ask_id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(reply.ready)

    def _take(self, state: PeerState) -> None:
        if self._table.take(state):
            self._on_state(state)

    def _forward(self, forwarded: Forwarded) -> None:
        """Forward a holder's word to the rest of this data centre.

        A VM that was frozen or suspended finds words that are older than they look.
        Forwarded as they are, they would vouch for a time in which nobody looked.
        """
        slept_s = self._boot.monotonic_s() - self._awake_s
        if not forwarded.forward_to or slept_s > ASLEEP_S:
            return
        data = encode(Forwarded(word=forwarded.word, late_s=slept_s))
        for address in forwarded.forward_to:
            self._send_data(data, address)

    async def run(self) -> None:
        """Tell the others this VM's state, for ever."""
        while True:
            self.tell()
            await asyncio.sleep(self._table.interval_s)

    def tell(self) -> None:
        """Tell the others this VM's state once."""
        self._number += 1
        state = self._describe(self.start, self._number)
        data = encode(state)
        if state.term > 0 and self._table.crowded:
            for peer, forward_to in self._table.hops(self._data_centre, rng=self._rng):
                word = (
                    encode(Forwarded(word=data, forward_to=forward_to))
                    if forward_to
                    else data
                )
                self._send_data(word, peer.address)
            return
        for peer in self._table.told(holding=state.term > 0, rng=self._rng):
            self._send_data(data, peer.address)

    async def ask(self, ask: AdapterAsk, address: str, *, limit_s: float) -> bool:
        """Ask another VM; False if it says no or does not answer in time."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[ask.ask_id] = future
        deadline_s = self._clock.monotonic_s() + limit_s
        try:
            while (left_s := deadline_s - self._clock.monotonic_s()) > 0:
                self._send(ask, address)
                done, _ = await asyncio.wait([future], timeout=min(left_s, ASK_AGAIN_S))
                if done:
                    return future.result()
            return False
        finally:
            del self._waiting[ask.ask_id]

    async def _answer(self, ask: AdapterAsk) -> None:
        try:
            ready = await self._on_ask(ask)
            self._send(AdapterReply(ask_id=ask.ask_id, ready=ready), ask.reply_to)
        finally:
            self._answering.discard(ask.ask_id)

    def _send(self, message: Message, address: str) -> None:
        self._send_data(encode(message), address)

    def _send_data(self, data: bytes, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))
