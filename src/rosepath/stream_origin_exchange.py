"""Tell other entry VMs where streams begin, and ask them when one is taken up.

A caller may come back at any VM, often because its own one is gone. So each VM
tells a few others before the first event leaves, and both sides choose these by
rendezvous hashing of the stream's key.
"""

import asyncio
import math
import uuid
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import Protocol

from rosepath.clock import Clock, SystemClock
from rosepath.peer_table import PeerTable
from rosepath.rendezvous import top
from rosepath.stream_origin_messages import (
    OriginMessage,
    OriginNotice,
    OriginQuery,
    OriginReply,
)
from rosepath.stream_origins import StreamOrigin, StreamOrigins, origin_key

# The VMs that are told, beside the one at which the stream begins. Two of them may
# be gone before the caller comes back.
TOLD_VMS = 3
# More are asked: one of each data centre that the teller may have chosen, and two of
# the own one, as the first of them may be the VM at which the stream began.
ASKED_VMS = TOLD_VMS + 1
ASKED_OWN_VMS = 2
# A round trip takes a few ms between data centres.
RESEND_AFTER_S = 0.05
MAX_SENDS = 3
# Large fleets have hundreds of VMs, and streams begin more often than VMs do.
MEMBERS_CACHED_S = 0.3


class OriginPort(Protocol):
    """Record where streams begin, and find it when they are taken up."""

    def note_began(self, request_id: str, origin: StreamOrigin) -> None: ...

    async def find(self, request_id: str) -> StreamOrigin | None: ...


class LocalOrigins:
    """Know only the streams that began at this VM."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._origins = StreamOrigins()

    def note_began(self, request_id: str, origin: StreamOrigin) -> None:
        """Record where a stream began."""
        now_s = self._clock.monotonic_s()
        self._origins.note(origin_key(request_id), origin, now_s=now_s)

    async def find(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream began, None if that is unknown."""
        now_s = self._clock.monotonic_s()
        return self._origins.find(origin_key(request_id), now_s=now_s)


def choose_told(
    key: str,
    others: Mapping[str, Collection[str]],
    *,
    own: str,
    count: int = TOLD_VMS,
) -> list[str]:
    """Choose which of the other VMs are told where a stream began.

    They are in different data centres as far as possible. The own one comes first,
    so that its VMs find each other's streams while it is cut off.
    """
    places = top(key, others.keys() - {own}, count)
    columns = [top(key, others.get(place, ()), count) for place in (own, *places)]
    in_order = [name for row in zip_longest(*columns) for name in row if name]
    return in_order[:count]


def choose_asked(
    key: str, others: Mapping[str, Collection[str]], *, own: str
) -> list[str]:
    """Choose which of the other VMs are asked where a stream began."""
    chosen = choose_told(key, others, own=own, count=ASKED_VMS)
    nearby = top(key, others.get(own, ()), ASKED_OWN_VMS)
    return [*chosen, *(name for name in nearby if name not in chosen)]


@dataclass(slots=True)
class _PendingQuery:
    """Hold the VMs that have not replied yet."""

    unanswered: set[str]
    result: "asyncio.Future[StreamOrigin | None]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def apply(self, reply: OriginReply) -> None:
        """Apply a reply; the first origin decides, or the last VM without one."""
        self.unanswered.discard(reply.entry_vm)
        found = reply.origin is not None or not self.unanswered
        if found and not self.result.done():
            self.result.set_result(reply.origin)


class StreamOriginExchange:
    """Own the origins that this VM knows, and its queries to others."""

    def __init__(
        self,
        entry_vm: str,
        data_centre: str,
        address: str,
        *,
        clock: Clock,
        peers: PeerTable,
        send: Callable[[OriginMessage, str], None],
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._me = entry_vm
        self._data_centre = data_centre
        self._address = address
        self._clock = clock
        self._peers = peers
        self._send = send
        self._count = count
        self._origins = StreamOrigins()
        # Tells the queries of this process from those of an earlier one.
        self._start = uuid.uuid4().hex[:8]
        self._query_count = 0
        self._pending: dict[str, _PendingQuery] = {}
        self._members: dict[str, list[str]] = {}
        self._members_s = -math.inf

    def note_began(self, request_id: str, origin: StreamOrigin) -> None:
        """Record where a stream began, and tell other VMs."""
        key = origin_key(request_id)
        self._origins.note(key, origin, now_s=self._clock.monotonic_s())
        notice = OriginNotice(key=key, origin=origin)
        for name in choose_told(key, self._others(), own=self._data_centre):
            self._send(notice, self._peers.peers[name].address)

    async def find(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream began, None if no VM that replies knows it."""
        key = origin_key(request_id)
        origin = self._origins.find(key, now_s=self._clock.monotonic_s())
        asked = choose_asked(key, self._others(), own=self._data_centre)
        if origin is None and asked:
            origin = await self._ask(key, asked)
            self._count("told" if origin is not None else "unknown")
        else:
            self._count("known" if origin is not None else "unknown")
        return origin

    def handle(self, message: OriginMessage) -> None:
        """Handle another entry VM's message."""
        now_s = self._clock.monotonic_s()
        match message:
            case OriginNotice():
                self._origins.note(message.key, message.origin, now_s=now_s)
            case OriginQuery():
                reply = OriginReply(
                    query_id=message.query_id,
                    entry_vm=self._me,
                    origin=self._origins.find(message.key, now_s=now_s),
                )
                self._send(reply, message.reply_to)
            case OriginReply():
                pending = self._pending.get(message.query_id)
                if pending is not None:
                    pending.apply(message)

    async def _ask(self, key: str, names: list[str]) -> StreamOrigin | None:
        self._query_count += 1
        query = OriginQuery(
            query_id=f"{self._start}-{self._query_count}",
            key=key,
            reply_to=self._address,
        )
        pending = self._pending[query.query_id] = _PendingQuery(set(names))
        try:
            for _ in range(MAX_SENDS):
                for name in pending.unanswered:
                    self._send(query, self._peers.peers[name].address)
                done, _ = await asyncio.wait([pending.result], timeout=RESEND_AFTER_S)
                if done:
                    return pending.result.result()
            return None
        finally:
            del self._pending[query.query_id]

    def _others(self) -> Mapping[str, Collection[str]]:
        """Return the other VMs by data centre."""
        now_s = self._clock.monotonic_s()
        if now_s > self._members_s + MEMBERS_CACHED_S:
            self._members_s = now_s
            self._members = self._peers.members()
        return self._members
