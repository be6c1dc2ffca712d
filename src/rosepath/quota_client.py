"""Admit an entry VM's requests by the quotas, through a coordinator.

Quotas are those of workspaces and the rate limits that servers state. One entry
VM coordinates them for all that reach it. Every VM prefers the
same one, by rendezvous hashing among those with the fastest links. In a partition,
each side finds one of its own, and a VM that reaches no other is its own.
"""

import asyncio
import math
import random
import uuid
from collections.abc import Callable, Mapping
from dataclasses import replace

from rosepath.catalog import Catalog
from rosepath.clock import Clock
from rosepath.logs import get_logger
from rosepath.peer_messages import NO_COORDINATOR, CoordinatorLink
from rosepath.peer_table import PeerTable
from rosepath.quota_coordinator import QuotaCoordinator
from rosepath.quota_messages import (
    QuotaClaim,
    QuotaMessage,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from rosepath.quota_pool import (
    NO_LIMIT,
    SHARE_LIFETIME_S,
    QuotaDecision,
    QuotaTolerance,
)
from rosepath.rendezvous import top

# Three messages are sent within the lifetime of a share, so that one of them
# may be lost.
LEND_INTERVAL_S = 0.3 * SHARE_LIFETIME_S
# An unanswered message is sent again after this. A reply takes milliseconds,
# but a busy VM may be slow to send it.
RESEND_AFTER_S = 0.08
# Lost datagrams are unlikely to be the cause of so many missing replies.
MAX_SENDS = 3
# Responses to probes are collected for this long if the preferred VM is silent.
PROBE_TIMEOUT_S = 0.08
# While another coordinator than the preferred one is used, the preferred one is
# probed at this interval, so that the fleet returns to one coordinator.
REEVALUATE_INTERVAL_S = 2.0
# Candidates that are probed at once. If all of them are silent, the next ones
# are: VMs that ended are still ranked until they are known to be gone. The own
# data centre may be cut off from the others, so its VMs are probed last.
CANDIDATES_PER_ROUND = 3
FLEET_ROUNDS = 3
LOCAL_ROUNDS = 3
# Coordinators tried for one request before this VM admits it on its own.
MAX_COORDINATORS = 2
RENDEZVOUS_KEY = "quotas"
# Until the first choice: the other VMs may become known at any moment.
START_INTERVAL_S = 0.1
# A coordinator logs the use of its busiest workspaces at this interval.
LOG_INTERVAL_S = 5.0
MAX_LOGGED = 20

_log = get_logger()


class QuotaClient:
    """Own this VM's pool of shares and its choice of a coordinator.

    The clock must count the time for which the machine is suspended: shares
    expire meanwhile.
    """

    def __init__(
        self,
        entry_vm: str,
        data_centre: str,
        address: str,
        *,
        clock: Clock,
        peers: PeerTable,
        tolerance: QuotaTolerance,
        catalog: Callable[[], Catalog | None],
        send: Callable[[QuotaMessage, str], None],
        stopping: Callable[[], bool],
        has_limited_servers: Callable[[], bool] = lambda: False,
        schedules_requests: Callable[[], bool] = lambda: False,
        on_coordinator_changed: Callable[[], None] = lambda: None,
        link_mbps: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self._me = entry_vm
        self._data_centre = data_centre
        self._address = address
        self._link_mbps = link_mbps
        self._clock = clock
        self._peers = peers
        self._catalog = catalog
        self._send = send
        self._stopping = stopping
        self._has_limited_servers = has_limited_servers
        self._schedules_requests = schedules_requests
        self._on_coordinator_changed = on_coordinator_changed
        self._rng = rng or random.Random()
        self._as_coordinator = QuotaCoordinator(tolerance)
        self.coordinator = entry_vm
        self._start = uuid.uuid4().hex[:8]
        self._number = 0
        self._pending: dict[str, asyncio.Future[QuotaReply]] = {}
        self._choosing: asyncio.Task[None] | None = None
        self._chosen_s = -math.inf
        self._lent_s = -math.inf
        self._logged_s = -math.inf

    def apply(self, catalog: Catalog) -> None:
        """Apply the quotas of a configuration."""
        self._as_coordinator.workspaces.apply(catalog.quotas, now_s=self._now_s())

    async def admit(self, workspace: str, cost: float) -> QuotaDecision:
        """Admit a request of a workspace, or say when to retry."""
        return await self._admit(QuotaClaim(workspace=workspace, cost=cost))

    async def admit_to_server(self, server: str, limit_per_s: float) -> QuotaDecision:
        """Admit a request by the rate limit of a server, or say when to retry."""
        return await self._admit(QuotaClaim(server=server, limit_per_s=limit_per_s))

    async def _admit(self, claim: QuotaClaim) -> QuotaDecision:
        if not self._has_chosen and self._peers.peers:
            # Right after a start, this VM's own share alone admits nothing yet.
            await self._choose()
        request_id = self._next_id()
        try:
            for _ in range(MAX_COORDINATORS):
                coordinator = self.coordinator
                if coordinator == self._me:
                    break
                reply = await self._ask(coordinator, request_id, claim)
                if reply is not None and not reply.leaving:
                    return QuotaDecision(
                        granted=reply.granted,
                        retry_after_s=reply.retry_after_s,
                        left=reply.left,
                        share=reply.share,
                        coordinator=coordinator,
                        quota_request_id=request_id,
                    )
                await self._choose(excluded=coordinator)
        except asyncio.CancelledError:
            self._return(self.coordinator, request_id)
            raise
        self._lend_to_self()
        decision = self._as_coordinator.admit(request_id, claim, now_s=self._now_s())
        return replace(decision, coordinator=self._me, quota_request_id=request_id)

    def give_back(self, decision: QuotaDecision) -> None:
        """Return what was granted to a request that did not run."""
        self._return(decision.coordinator, decision.quota_request_id)

    async def run(self) -> None:
        """Lend this VM's share to a coordinator, indefinitely."""
        while True:
            catalog = self._catalog()
            needed = (
                bool(catalog and catalog.quotas)
                or self._has_limited_servers()
                or self._schedules_requests()
            )
            if needed:
                await self._lend()
                self._log_usage()
            starting = not self._has_chosen and (needed or catalog is None)
            pause_s = START_INTERVAL_S if starting else LEND_INTERVAL_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.0))

    @property
    def chosen_coordinator(self) -> str | None:
        """Return the coordinator; None while other VMs may turn out to be it."""
        if self._has_chosen or not self._peers.peers:
            return self.coordinator
        return None

    @property
    def coordinator_link(self) -> CoordinatorLink:
        """Return what other VMs need to know to choose the same coordinator."""
        coordinator = self.chosen_coordinator
        peer = self._peers.peers.get(coordinator or "")
        if coordinator == self._me:
            return CoordinatorLink(self._me, self._link_mbps)
        if peer is None or peer.state is None:
            return NO_COORDINATOR
        return CoordinatorLink(peer.name, peer.state.link_mbps)

    async def choose_other(self, silent: str) -> None:
        """Choose another coordinator than one that does not respond."""
        await self._choose(excluded=silent)

    @property
    def _has_chosen(self) -> bool:
        return self._chosen_s > -math.inf

    def _log_usage(self) -> None:
        """Log as coordinator what workspaces used in the last window."""
        now_s = self._now_s()
        pool = self._as_coordinator.workspaces
        if pool.lenders <= 1 or now_s < self._logged_s + LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        usage = pool.usage(now_s=now_s)
        busiest = sorted(usage, key=lambda name: -usage[name][0])[:MAX_LOGGED]
        _log.info(
            "quota_usage",
            lenders=pool.lenders,
            share=round(pool.share, 3),
            workspaces={name: usage[name] for name in busiest},
        )

    def leave(self) -> None:
        """Withdraw this VM's share from its coordinator at a planned stop."""
        self._return(self.coordinator, "")

    def handle(self, message: QuotaMessage) -> None:
        """Handle another entry VM's message."""
        match message:
            case QuotaRequest():
                reply = self._respond(message)
                if reply is not None:
                    self._send(reply, message.reply_to)
            case QuotaReply():
                pending = self._pending.get(message.quota_request_id)
                if pending is not None and not pending.done():
                    pending.set_result(message)
            case QuotaReturn(quota_request_id=""):
                self._as_coordinator.withdraw(message.entry_vm, now_s=self._now_s())
            case QuotaReturn():
                self._as_coordinator.give_back(message.quota_request_id)

    # As coordinator

    def _respond(self, request: QuotaRequest) -> QuotaReply | None:
        """Respond as coordinator; not at all without a configuration."""
        if self._catalog() is None:
            return None
        reply = QuotaReply(quota_request_id=request.quota_request_id)
        if self._stopping():
            return replace(reply, granted=False, leaving=True)
        if request.probe:
            return reply
        now_s = self._now_s()
        self._as_coordinator.lend(
            request.entry_vm, fleet_size=request.fleet_size, now_s=now_s
        )
        if request.claim is None:
            return replace(reply, share=self._as_coordinator.workspaces.share)
        decision = self._as_coordinator.admit(
            request.quota_request_id, request.claim, now_s=now_s
        )
        return replace(
            reply,
            granted=decision.granted,
            retry_after_s=decision.retry_after_s,
            left=decision.left,
            share=decision.share,
        )

    # As client

    async def _lend(self) -> None:
        """Lend this VM's share unless a recent message did; choose if needed."""
        now_s = self._now_s()
        if (
            self._peers.peers
            and now_s - self._chosen_s > REEVALUATE_INTERVAL_S
            and (not self._has_chosen or self.coordinator != self._preferred())
        ):
            await self._choose()
        if self.coordinator == self._me:
            self._lend_to_self()
        elif now_s - self._lent_s > LEND_INTERVAL_S / 2:
            coordinator = self.coordinator
            reply = await self._ask(coordinator, self._next_id())
            if reply is None or reply.leaving:
                await self._choose(excluded=coordinator)

    def _lend_to_self(self) -> None:
        self._as_coordinator.lend(
            self._me, fleet_size=self._fleet_size, now_s=self._now_s()
        )

    @property
    def _fleet_size(self) -> int:
        """Return the number of entry VMs that have shares, this one included.

        VMs that fell silent count: they may be cut off, and use their share.
        """
        return 1 + sum(
            peer.state is None or not peer.state.stopping
            for peer in self._peers.peers.values()
        )

    async def _ask(
        self,
        coordinator: str,
        request_id: str,
        claim: QuotaClaim | None = None,
    ) -> QuotaReply | None:
        """Send a request to a coordinator; return None if it does not reply."""
        peer = self._peers.peers.get(coordinator)
        if peer is None:
            return None
        request = QuotaRequest(
            quota_request_id=request_id,
            entry_vm=self._me,
            reply_to=self._address,
            fleet_size=self._fleet_size,
            claim=claim,
        )
        pending = self._expect_reply(request_id)
        self._lent_s = self._now_s()
        try:
            for _ in range(MAX_SENDS):
                self._send(request, peer.address)
                done, _ = await asyncio.wait([pending], timeout=RESEND_AFTER_S)
                if done:
                    return pending.result()
            return None
        finally:
            del self._pending[request_id]

    def _expect_reply(self, request_id: str) -> "asyncio.Future[QuotaReply]":
        future: asyncio.Future[QuotaReply]
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        return future

    async def _choose(self, *, excluded: str = "") -> None:
        """Choose the coordinator anew; all callers wait for one choice."""
        if excluded and self.coordinator != excluded:
            return
        if self._choosing is None or self._choosing.done():
            self._choosing = asyncio.ensure_future(self._choose_reachable(excluded))
        await asyncio.shield(self._choosing)

    async def _choose_reachable(self, excluded: str) -> None:
        """Choose the first candidate that responds to a probe."""
        chosen = None
        for candidates in self._candidate_rounds():
            chosen = await self._first_reachable(
                [name for name in candidates if name != excluded]
            )
            if chosen is not None:
                break
        self._chosen_s = self._now_s()
        self._change(chosen or self._me)

    async def _first_reachable(self, candidates: list[str]) -> str | None:
        """Return the first of the candidates that responds, None if none does."""
        probes: Mapping[str, asyncio.Future[QuotaReply]] = {
            name: self._probe(name) for name in candidates if name != self._me
        }
        until_s = self._now_s() + PROBE_TIMEOUT_S
        try:
            while not self._decided(candidates, probes):
                left_s = until_s - self._now_s()
                waiting = [probe for probe in probes.values() if not probe.done()]
                if left_s <= 0 or not waiting:
                    break
                await asyncio.wait(
                    waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
            return next(
                (
                    name
                    for name in candidates
                    if name == self._me or _responded(probes[name])
                ),
                None,
            )
        finally:
            for probe in probes.values():
                probe.cancel()

    def _decided(
        self, candidates: list[str], probes: Mapping[str, asyncio.Future[QuotaReply]]
    ) -> bool:
        """Return whether no later response can change the choice."""
        for name in candidates:
            if name == self._me or _responded(probes[name]):
                return True
            if not probes[name].done():
                return False
        return True

    def _change(self, chosen: str) -> None:
        if chosen == self.coordinator:
            return
        previous, self.coordinator = self.coordinator, chosen
        # Otherwise the share would count at both until it expires.
        self._return(previous, "")
        _log.info(
            "quota_coordinator_chosen",
            peer=chosen,
            previous=previous,
            fleet_size=self._fleet_size,
        )
        self._on_coordinator_changed()

    def _probe(self, name: str) -> "asyncio.Future[QuotaReply]":
        request_id = self._next_id()
        future = self._expect_reply(request_id)
        future.add_done_callback(lambda _: self._pending.pop(request_id, None))
        request = QuotaRequest(
            quota_request_id=request_id,
            entry_vm=self._me,
            reply_to=self._address,
            fleet_size=self._fleet_size,
            probe=True,
        )
        self._send(request, self._peers.peers[name].address)
        return future

    def _preferred(self) -> str:
        return self._candidate_rounds()[0][0]

    def _candidate_rounds(self) -> list[list[str]]:
        """Return the VMs to probe in each round, the preferred one first."""
        links_mbps: dict[str, float] = {}
        local: dict[str, float] = {}
        named = self._peers.quota_coordinator
        for name, peer in self._peers.peers.items():
            state = peer.state
            if state is None:
                links_mbps[name] = named.link_mbps if name == named.entry_vm else 0.0
            elif not state.stopping:
                links_mbps[name] = state.link_mbps
                if state.data_centre == self._data_centre:
                    local[name] = state.link_mbps
        if not self._stopping():
            links_mbps[self._me] = local[self._me] = self._link_mbps
        size = CANDIDATES_PER_ROUND
        fleet = _ranked_by_link(links_mbps, FLEET_ROUNDS * size)
        nearby = [
            name
            for name in _ranked_by_link(local, LOCAL_ROUNDS * size)
            if name not in fleet
        ]
        rounds = [
            names[start : start + size]
            for names in (fleet, nearby)
            for start in range(0, len(names), size)
        ]
        return rounds or [[self._me]]

    def _return(self, coordinator: str, request_id: str) -> None:
        """Give back a grant, or without an id this VM's share."""
        message = QuotaReturn(entry_vm=self._me, quota_request_id=request_id)
        if coordinator == self._me:
            self.handle(message)
        elif coordinator in self._peers.peers:
            self._send(message, self._peers.peers[coordinator].address)

    def _next_id(self) -> str:
        self._number += 1
        return f"{self._me}.{self._start}.{self._number}"

    def _now_s(self) -> float:
        return self._clock.monotonic_s()


def _ranked_by_link(links_mbps: Mapping[str, float], count: int) -> list[str]:
    """Return the first VMs by rendezvous hashing, those with fast links first.

    On a slow link that callers fill, replies come too late. Links of the same
    order of magnitude count alike.
    """
    by_magnitude: dict[int, list[str]] = {}
    for name, link_mbps in links_mbps.items():
        magnitude = math.floor(math.log10(max(1.0, link_mbps)))
        by_magnitude.setdefault(magnitude, []).append(name)
    chosen: list[str] = []
    for magnitude in sorted(by_magnitude, reverse=True):
        if len(chosen) < count:
            chosen += top(RENDEZVOUS_KEY, by_magnitude[magnitude], count - len(chosen))
    return chosen


def _responded(probe: "asyncio.Future[QuotaReply]") -> bool:
    return probe.done() and not probe.cancelled() and not probe.result().leaving


class Unlimited:
    """Admit every request."""

    async def admit(self, workspace: str, cost: float) -> QuotaDecision:
        return NO_LIMIT

    async def admit_to_server(self, server: str, limit_per_s: float) -> QuotaDecision:
        return NO_LIMIT

    def give_back(self, decision: QuotaDecision) -> None:
        return
