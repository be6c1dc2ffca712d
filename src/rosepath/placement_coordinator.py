"""Model demand, the placement lease and orders to engines on one entry VM."""

import asyncio
import uuid
from collections.abc import Callable, Collection, Mapping

from rosepath.caller_request import Prompt
from rosepath.catalog import Catalog
from rosepath.clock import BootClock, Clock
from rosepath.demand import DemandTracker, ModelDemand, total_demand
from rosepath.engine_orders import EnginePort
from rosepath.entry_settings import EntrySettings
from rosepath.fleet import BackendServer, Fleet
from rosepath.lease_extension import LeaseExtension
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.logs import get_logger
from rosepath.model_arrivals import ModelArrivals
from rosepath.object_store import ObjectsPort
from rosepath.order_dispatcher import DispatcherPorts, OrderDispatcher
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import AdapterRequest, LeaseHandover, PeerState
from rosepath.peer_table import PeerTable
from rosepath.prompt_caches import PromptCaches
from rosepath.rendezvous import ranked
from rosepath.residency_changes import ResidencyChanges
from rosepath.throttled_call import ThrottledCall

# A single renewal may fail by chance; two in a row mean that the store fails.
RESIGN_AFTER_OVERDUE_S = 0.5
LEASE_NAME = "placement"
# A successor drops the lease unless all other VMs acknowledge it within this
# time.
HANDOVER_CLAIM_S = 2.0
# How long after the last state message of the holder another VM reads the
# lease to take it over. Eight messages lost in a row, or four in a large
# fleet, mean that the holder is gone. Each VM in rank order waits one stagger
# longer than the one before, so that only one reads.
HOLDER_SILENCE_S = 1.3
HOLDER_SILENCE_LARGE_FLEET_S = 3.0
TAKEOVER_STAGGER_S = 0.4
# In a large fleet, a state message is long and goes to a whole data centre. If
# one were sent for each model loaded or unloaded, they would fill the holder's
# link at the start of a term, and its lease renewals and orders would time
# out. Four a second leave most of a 10 Mbit/s link free.
MOVE_INTERVAL_LARGE_FLEET_S = 0.25
NOT_EXTENDED_S = -1e9
# Limits on the time that a stopping holder takes to finish its swaps, in
# seconds and as a share of its grace period. Most unloads wait less than this
# for the runs of their model, and no VM plans until the lease is released.
FINISH_ORDERS_MAX_S = 2.0
FINISH_ORDERS_GRACE_SHARE = 0.25
# How long a stopping holder waits for the store to release the lease before it
# hands the lease directly to a successor: a little over the default limit of
# one call. With a longer limit, a slow store would use up the grace period.
RELEASE_TIMEOUT_S = 0.6

_log = get_logger()


class PlacementCoordinator:
    """Own this VM's model demand, its placement lease and its orders.

    Used by the entry node and the peer exchange. Only the holder of the lease
    sends orders to engines; the other VMs ask the holder for adapters.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock,
        store: ObjectsPort,
        engines: EnginePort,
        fleet: Fleet,
        caches: PromptCaches,
        catalog: Callable[[], Catalog | None],
        peers: PeerTable,
        stopping: Callable[[], bool],
        cut_off: Callable[[], bool],
        changed: Callable[[], None],
        partitioned: Callable[[], bool] = lambda: False,
        boot_clock: Clock | None = None,
    ) -> None:
        self._me = settings.entry_vm
        self._clock = clock
        self._peers = peers
        self._stopping = stopping
        self._cut_off = cut_off
        self._partitioned = partitioned
        self._address = settings.peers.listen
        self._holder_silent_since_s = clock.monotonic_s()
        self.link: PeerLink | None = None
        self.resigned_version = 0
        self.handover = LeaseHandover()
        self._handover_accepted_s = -1e9
        self.residency_changes = ResidencyChanges(
            clock=clock,
            fleet=fleet,
            caches=caches,
            changed=changed,
            send_state=ThrottledCall(
                self._send_state, interval_s=self._move_interval_s
            ).request,
        )
        self._arrivals = ModelArrivals()
        self._was_holder = False
        self._finishing_orders = False
        # Set when this VM becomes the holder; cleared by the planning loop.
        self.term_started = asyncio.Event()
        self._lease_checked = False
        self._boot_clock = boot_clock or BootClock()
        self.demand = DemandTracker()
        self._extension = LeaseExtension(silence_s=HOLDER_SILENCE_S)
        self._finish_orders_max_s = min(
            FINISH_ORDERS_MAX_S, FINISH_ORDERS_GRACE_SHARE * settings.stop.grace_s
        )
        lease = settings.lease
        self.leases = LeaseKeeper(
            store,
            me=settings.entry_vm,
            policy=LeasePolicy(
                duration_s=lease.duration_s,
                margin_s=lease.margin_s,
                renew_s=lease.renew_s,
                look_s=lease.look_s,
                handover_s=lease.handover_s,
                turn_s=lease.turn_s,
                extension_s=HOLDER_SILENCE_S,
            ),
            clock=self._boot_clock,
        )
        self.orders = OrderDispatcher(
            DispatcherPorts(
                me=settings.entry_vm,
                clock=clock,
                engines=engines,
                fleet=fleet,
                catalog=catalog,
                may_order=lambda: self.holds_lease,
                fence=lambda: self.leases.fence(LEASE_NAME),
                follows_term=lambda: self.leases.follows_term(LEASE_NAME),
                terms_ended_within=lambda limit_s: self.leases.terms_ended_within(
                    LEASE_NAME, limit_s
                ),
                demand=self.all_demand,
                peer_update_interval_s=lambda: peers.interval_s,
                on_residency_change=self.residency_changes.record,
            )
        )

    @property
    def holds_lease(self) -> bool:
        """Return whether this VM holds the placement lease and may order."""
        # Read for each datagram, so the acknowledgements are only looked
        # through while the lease could not be renewed.
        if self.leases.valid(LEASE_NAME):
            return True
        return self.leases.valid(LEASE_NAME, extended_until_s=self._extended_until_s())

    @property
    def term(self) -> int:
        """Return the fencing token under which the lease is held, or 0."""
        return self.leases.fence(LEASE_NAME) if self._claims_lease else 0

    @property
    def lease_version(self) -> int:
        """Return the version of the held lease, or 0."""
        return self.leases.version(LEASE_NAME) if self._claims_lease else 0

    @property
    def _claims_lease(self) -> bool:
        """Return whether this VM announces that it holds the lease.

        A successor announces it before it may act, as the others acknowledge
        only a VM that does.
        """
        if self.holds_lease:
            return True
        accepted_ago_s = self._boot_clock.monotonic_s() - self._handover_accepted_s
        mine = self.leases.is_own(LEASE_NAME)
        return mine and accepted_ago_s < HANDOVER_CLAIM_S and not self._stopping()

    @property
    def last_action_age_s(self) -> float:
        """Return how long ago the last order of this VM ended."""
        return self.orders.sender.last_action_age_s

    @property
    def holder_ack(self) -> tuple[str, int]:
        """Return the start and number of the holder's message to acknowledge.

        A VM that has acquired the lease itself acknowledges none.
        """
        if self.leases.is_own(LEASE_NAME):
            return "", 0
        return self._peers.last_holder_message()

    def note_state_sent(self, number: int) -> None:
        """Record that this VM sends a numbered state message."""
        self._extension.note_sent(number, now_s=self._boot_clock.monotonic_s())

    def handle_peer_state(self, state: PeerState) -> None:
        """Apply the state message of another VM to the lease and the fleet."""
        self.residency_changes.apply_peer_state(state)
        start, number = state.holder_ack
        if self.link is not None and start == self.link.start:
            self._extension.note_ack(state.entry_vm, number)
        if state.term:
            if state.lease_version > self.handover.version:
                self.handover = LeaseHandover()
            self._arrivals.replace_announced(
                state.arrivals, now_s=self._clock.monotonic_s()
            )
            self.leases.note_announcement(
                LEASE_NAME, version=state.lease_version, fence=state.term
            )
        if state.handover.successor == self._me and not self._stopping():
            self._accept_handover(state)
        if state.resigned_version:
            self._holder_silent_since_s = -1e9
            self.leases.note_resignation(
                LEASE_NAME,
                version=state.resigned_version,
                last_action_age_s=state.last_action_age_s,
            )

    # Demand

    def note_request_received(self, service: str, prompt: Prompt) -> None:
        """Count a request that arrived for a model."""
        self.demand.count_request(service, prompt, now_s=self._clock.monotonic_s())

    def note_prefill_work(
        self, service: str, prompt: Prompt, *, unread_tokens: int
    ) -> None:
        """Add the prompt tokens that an engine must read for a request."""
        self.demand.record_prefill(
            service,
            prompt,
            unread_tokens=unread_tokens,
            now_s=self._clock.monotonic_s(),
        )

    def note_waiting(self, service: str, prompt: Prompt, *, step: int) -> None:
        """Count a request that begins (1) or ends (-1) waiting for a model."""
        now_s = self._clock.monotonic_s()
        self.demand.count_waiting(service, prompt, step=step, now_s=now_s)

    def own_demand(self) -> dict[str, Mapping[str, ModelDemand]]:
        """Return the demand of this VM's callers, by service and model."""
        now_s = self._clock.monotonic_s()
        return {
            service: self.demand.current(service, now_s=now_s)
            for service in self.demand.services
        }

    def all_demand(self, service: str) -> dict[str, ModelDemand]:
        """Return the demand of all live VMs for a service, by model."""
        parts = [self.own_demand().get(service, {})]
        for peer in self._peers.live():
            if peer.state is not None:
                parts.append(peer.state.demand.get(service, {}))
        return total_demand(parts)

    def model_due_s(
        self, model: str, *, servers: Collection[str] | None = None
    ) -> float | None:
        """Return when a model will be loaded on an engine, if known.

        With `servers`, on one of them.
        """
        now_s = self._clock.monotonic_s()
        if self.holds_lease:
            self._arrivals.replace_announced(self.orders.arrivals, now_s=now_s)
        return self._arrivals.due_s(model, now_s=now_s, servers=servers)

    # The lease

    async def renew_or_acquire_lease(self) -> None:
        """Renew the lease, or try to acquire it if its holder is silent."""
        last_message_s = max(
            self._holder_silent_since_s, self._peers.holder_message_at_s
        )
        silent_s = self._clock.monotonic_s() - last_message_s
        # The first read is immediate: a holder that was killed and restarted
        # finds its own lease and need not wait for it to expire.
        wanted = not self._lease_checked or silent_s > self._takeover_after_s()
        # A VM that is cut off does not read the lease: reads are charged for
        # even if they fail.
        wanted = wanted and not self._stopping() and not self._cut_off()
        wanted = wanted and not self._only_others_reach_engines()
        self._lease_checked = True
        await self.leases.step(
            LEASE_NAME, wanted=wanted, extended_until_s=self._extended_until_s()
        )
        self._peers.named_holder = self.leases.holder(LEASE_NAME)
        if self._finishing_orders:
            # The lease is released next, or handed to a successor; a
            # resignation here would leave it without one.
            return
        if self._was_holder and (not self.holds_lease or self._store_fails_only_here()):
            # Renewals fail, but the others may still receive this VM's
            # messages.
            self.resigned_version = self.leases.resign(LEASE_NAME)
            self._send_state()
        elif self.holds_lease:
            self.resigned_version = 0
            self.handover = LeaseHandover()
        elif self.leases.own_lease_expired(LEASE_NAME) and not (
            self._claims_lease or self._stopping()
        ):
            # A successor that not all others acknowledged in time. The lease
            # is acquired through the store once that responds again.
            self.leases.resign(LEASE_NAME)
        if self.holds_lease and not self._was_holder:
            self.term_started.set()
        self._was_holder = self.holds_lease

    def _accept_handover(self, state: PeerState) -> None:
        if self.leases.accept_handover(
            LEASE_NAME,
            version=state.handover.version,
            fence=state.handover.fence,
            last_action_age_s=state.last_action_age_s,
        ):
            self._handover_accepted_s = self._boot_clock.monotonic_s()
            _log.info("lease_inherited", step="lease", by=state.entry_vm)
            self._send_state()

    def _extended_until_s(self) -> float:
        """Return until when no other VM takes the lease over.

        A large fleet gets no extension, as its messages are too far apart.
        """
        if not self.leases.is_own(LEASE_NAME):
            return NOT_EXTENDED_S
        stopped_acting = self._stopping() and not self._finishing_orders
        if stopped_acting or self._peers.large_fleet:
            return NOT_EXTENDED_S
        return self._extension.extended_until_s(self._peers.required_ackers())

    def _store_fails_only_here(self) -> bool:
        """Return whether the store fails for this VM but responds to another.

        If it responds to no VM, none can acquire the lease, so the holder
        keeps it until it expires.
        """
        overdue_s = self.leases.overdue_s(LEASE_NAME)
        if overdue_s < RESIGN_AFTER_OVERDUE_S:
            return False
        return any(
            peer.state is not None
            and peer.state.store_ago_s < overdue_s - RESIGN_AFTER_OVERDUE_S / 2
            for peer in self._peers.live()
        )

    def _move_interval_s(self) -> float:
        return MOVE_INTERVAL_LARGE_FLEET_S if self._peers.large_fleet else 0.0

    def _send_state(self) -> None:
        if self.link is not None:
            self.link.send_state()

    def _takeover_after_s(self) -> float:
        # In a large fleet, each VM has recent messages of only some others.
        # Ranked among those, many VMs would come first and read the lease at
        # once.
        known = list(self._peers.peers.values())
        others = known if self._peers.large_fleet else self._peers.live()
        names = [self._me]
        names += [
            peer.name
            for peer in others
            if not (peer.state is not None and peer.state.stopping)
        ]
        rank = ranked(LEASE_NAME, names).index(self._me)
        silent_s = HOLDER_SILENCE_S
        if self._peers.large_fleet:
            silent_s = HOLDER_SILENCE_LARGE_FLEET_S
        return silent_s + TAKEOVER_STAGGER_S * rank

    async def release_if_partitioned(self) -> None:
        """Release the lease if only other VMs reach the engines.

        Otherwise no model or adapter is loaded until the links are back, which
        callers of all VMs would wait for.
        """
        if self.holds_lease and not self._stopping():
            if self._only_others_reach_engines():
                _log.info("lease_left", step="lease", why="no path to the engines")
                await self.release()

    def _only_others_reach_engines(self) -> bool:
        return self._partitioned() and any(
            peer.state is not None
            and not peer.state.partitioned
            and not peer.state.stopping
            for peer in self._peers.live()
        )

    async def release(self) -> None:
        """Finish the orders and release the lease."""
        self._finishing_orders = True
        try:
            await self.orders.finish(self._finish_orders_max_s)
        finally:
            self._finishing_orders = False
        held, self._was_holder = self._was_holder, False
        fence = self.leases.fence(LEASE_NAME)
        self.resigned_version = await self._release_in_store()
        if held and self.leases.holder(LEASE_NAME) == self._me:
            # The store did not confirm the release, so one VM takes over
            # directly.
            self.handover = LeaseHandover(
                self._choose_successor(), self.resigned_version, fence
            )
            _log.info("lease_bequeathed", step="lease", peer=self.handover.successor)
        self._send_state()

    async def _release_in_store(self) -> int:
        """Release the lease in the store; return the version that ends, or 0.

        This VM stops acting at once, whether the store applies the release in
        time, late or not at all.
        """
        held_version = 0
        if self.leases.holder(LEASE_NAME) == self._me:
            held_version = self.leases.version(LEASE_NAME)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                return await self.leases.release(LEASE_NAME)
        except TimeoutError:
            _log.warning(
                "lease_not_handed_back", step="lease", after_s=RELEASE_TIMEOUT_S
            )
            return held_version

    def _choose_successor(self) -> str:
        live = [
            peer.name
            for peer in self._peers.live()
            if peer.state is not None and not peer.state.stopping
        ]
        return next(iter(ranked(LEASE_NAME, live)), "")

    # Adapters

    async def ensure_adapter(
        self, service: str, server: BackendServer, prompt: Prompt, *, limit_s: float
    ) -> bool:
        """Load an adapter onto an engine by an order or through the holder."""
        if self.holds_lease:
            return await self.orders.ensure_adapter(
                service, server.name, prompt.model, prompt.adapter
            )
        holder = self._peers.holder()
        if holder is None or self.link is None:
            return False
        request = AdapterRequest(
            adapter_request_id=uuid.uuid4().hex[:12],
            reply_to=self._address,
            server=server.name,
            service=service,
            model=prompt.model,
            adapter=prompt.adapter,
        )
        ready = await self.link.request_adapter(
            request, holder.address, limit_s=limit_s
        )
        if ready and prompt.model in server.resident_models:
            server.resident_models[prompt.model].add(prompt.adapter)
        return ready

    async def handle_adapter_request(self, request: AdapterRequest) -> bool:
        """Load an adapter that another VM requests; true once it is loaded."""
        return self.holds_lease and await self.orders.ensure_adapter(
            request.service, request.server, request.model, request.adapter
        )
