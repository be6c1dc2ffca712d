"""What this entry VM does about models: tell of demand, ask, hold the lease."""

import asyncio
import uuid
from collections.abc import Callable, Mapping

from rosepath.caller_call import Prompt
from rosepath.catalog import Catalog
from rosepath.clock import BootClock, Clock
from rosepath.demand import Demand, ModelDemand, total_demand
from rosepath.engine_orders import EnginePort
from rosepath.entry_settings import EntrySettings
from rosepath.fleet import BackendServer, Fleet
from rosepath.held_moves import HeldMoves
from rosepath.lease_backing import LeaseBacking
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.logs import get_logger
from rosepath.model_arrivals import ModelArrivals
from rosepath.object_store import ObjectsPort
from rosepath.order_dispatcher import DispatcherPorts, OrderDispatcher
from rosepath.paced_call import PacedCall
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import AdapterAsk, Bequest, PeerState
from rosepath.peer_table import PeerTable
from rosepath.prompt_caches import PromptCaches
from rosepath.rendezvous import ranked

# One renewal may fail by chance; after two the store has turned away.
RESIGN_OVERDUE_S = 0.5
LEASE_NAME = "placement"
# An heir that the others do not back by then leaves the lease to them.
INHERITED_CLAIM_S = 2.0
# So long after the last word of a holder, others look whether it has lapsed;
# each waits a little longer than the one before it in rank, so that one reads.
# Eight words lost in a row, or four in a crowd, mean that it is gone.
HOLDER_SILENT_S = 1.3
HOLDER_SILENT_CROWDED_S = 3.0
RANK_STEP_S = 0.4
# In a crowd, a word is long and goes to a whole data centre: one for each model that
# comes or goes fills the holder's link as a term begins, and its renewals of the lease
# and its orders time out. Four a second leave most of a link of 10 Mbit/s free.
MOVES_APART_CROWDED_S = 0.25
NEVER_BACKED_S = -1e9
# A stopping holder ends its swaps for so long, or a part of its grace: an unload
# mostly waits less for the runs of its model, and until the lease is given up
# nobody plans.
FINISH_S = 2.0
FINISH_GRACE_SHARE = 0.25
# How long a stopping holder waits for the store to take the lease back, a little over
# what one call takes by default; then one heir goes on by its word. With a longer limit
# for calls, a slow store would use up the grace.
HAND_BACK_S = 0.6

_log = get_logger()


class PlacementCoordinator:
    """Count demand, and bring orders about: as the holder, or by asking it."""

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
        boot_clock: Clock | None = None,
    ) -> None:
        self._me = settings.entry_vm
        self._clock = clock
        self._peers = peers
        self._stopping = stopping
        self._cut_off = cut_off
        self._address = settings.peers.listen
        self._silent_since_s = clock.monotonic_s()
        self.link: PeerLink | None = None
        self.resigned_version = 0
        self.bequest = Bequest()
        self._inherited_s = -1e9
        self.moves = HeldMoves(
            clock=clock,
            fleet=fleet,
            caches=caches,
            changed=changed,
            tell=PacedCall(self._say_so, interval_s=self._moves_apart_s).ask,
        )
        self._arrivals = ModelArrivals()
        self._was_holder = False
        self._finishing = False
        # Set as this VM becomes the holder; whoever plans clears it.
        self.term_begun = asyncio.Event()
        self._looked = False
        self._boot = boot_clock or BootClock()
        self.demand = Demand()
        self._backing = LeaseBacking(silent_s=HOLDER_SILENT_S)
        self._finish_s = min(FINISH_S, FINISH_GRACE_SHARE * settings.stop.grace_s)
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
                backed_s=HOLDER_SILENT_S,
            ),
            clock=self._boot,
        )
        self.orders = OrderDispatcher(
            DispatcherPorts(
                me=settings.entry_vm,
                clock=clock,
                engines=engines,
                fleet=fleet,
                catalog=catalog,
                may_order=lambda: self.holds,
                fence=lambda: self.leases.fence(LEASE_NAME),
                demand=self.all_demand,
                told_every_s=lambda: peers.interval_s,
                on_held=self.moves.note,
            )
        )

    @property
    def holds(self) -> bool:
        """Tell whether this VM may order right now."""
        # Each datagram asks this: who backs the lease is looked through only
        # while it could not be renewed.
        if self.leases.valid(LEASE_NAME):
            return True
        return self.leases.valid(LEASE_NAME, backed_until_s=self._backed_until_s())

    @property
    def term(self) -> int:
        """Return the fence under which the lease is held, or 0."""
        return self.leases.fence(LEASE_NAME) if self._claims else 0

    @property
    def lease_version(self) -> int:
        """Return the version of the lease held, or 0."""
        return self.leases.version(LEASE_NAME) if self._claims else 0

    @property
    def _claims(self) -> bool:
        """Tell whether this VM says that it holds the lease.

        An heir says so before it may act: the others back whom they hear.
        """
        if self.holds:
            return True
        inherited_ago_s = self._boot.monotonic_s() - self._inherited_s
        mine = self.leases.holder(LEASE_NAME) == self._me
        return mine and inherited_ago_s < INHERITED_CLAIM_S and not self._stopping()

    @property
    def acted_ago_s(self) -> float:
        """Return how long ago the last order of this VM was over."""
        return self.orders.sender.acted_ago_s

    @property
    def heard(self) -> tuple[str, int]:
        """Return whose word this VM last heard as the holder's, and which.

        Who takes the lease itself keeps off nobody's.
        """
        if self.leases.holder(LEASE_NAME) == self._me:
            return "", 0
        return self._peers.heard_holder()

    def note_word(self, number: int) -> None:
        """Note that this VM speaks to the others."""
        self._backing.note_sent(number, now_s=self._boot.monotonic_s())

    def hear_peer(self, state: PeerState) -> None:
        """Take in what another VM says of the lease."""
        self.moves.hear(state)
        start, number = state.heard
        if self.link is not None and start == self.link.start:
            self._backing.note_heard(state.entry_vm, number)
        if state.term:
            self._arrivals.hear(state.arrivals, now_s=self._clock.monotonic_s())
            self.leases.hear(LEASE_NAME, version=state.lease_version)
        if state.bequest.heir == self._me and not self._stopping():
            self._inherit(state)
        if state.resigned_version:
            self._silent_since_s = -1e9
            self.leases.hear_resigned(
                LEASE_NAME,
                version=state.resigned_version,
                acted_ago_s=state.acted_ago_s,
            )

    # Demand

    def note_asked(self, service: str, prompt: Prompt) -> None:
        """Note that a request for a model came."""
        self.demand.ask(service, prompt, now_s=self._clock.monotonic_s())

    def note_request(self, service: str, prompt: Prompt, *, unread_tokens: int) -> None:
        """Note what an engine has to read for a request."""
        self.demand.note(
            service,
            prompt,
            unread_tokens=unread_tokens,
            now_s=self._clock.monotonic_s(),
        )

    def note_waiting(self, service: str, prompt: Prompt, *, step: int) -> None:
        """Note that a request begins or ends waiting for a model."""
        now_s = self._clock.monotonic_s()
        self.demand.wait(service, prompt, step=step, now_s=now_s)

    def own_demand(self) -> dict[str, Mapping[str, ModelDemand]]:
        """Return the demand that this VM sees, by service."""
        now_s = self._clock.monotonic_s()
        return {
            service: self.demand.now(service, now_s=now_s)
            for service in self.demand.services
        }

    def all_demand(self, service: str) -> dict[str, ModelDemand]:
        """Return the demand that all VMs see."""
        parts = [self.own_demand().get(service, {})]
        for peer in self._peers.live():
            if peer.state is not None:
                parts.append(peer.state.demand.get(service, {}))
        return total_demand(parts)

    def model_due_s(self, model: str) -> float | None:
        """Return when a model will be on some engine, if that is known."""
        now_s = self._clock.monotonic_s()
        if self.holds:
            self._arrivals.hear(self.orders.arrivals, now_s=now_s)
        return self._arrivals.due_s(model, now_s=now_s)

    # The lease

    async def step_lease(self) -> None:
        """Renew the lease, or look whether the holder's has lapsed."""
        heard_s = max(self._silent_since_s, self._peers.holder_heard_s)
        silent_s = self._clock.monotonic_s() - heard_s
        # The first look is at once: a holder that was killed finds its own
        # lease and need not wait for it to lapse.
        wanted = not self._looked or silent_s > self._turn_s()
        # One that reaches nobody spares the store its looks, which are paid for
        # whether they arrive or not.
        wanted = wanted and not self._stopping() and not self._cut_off()
        self._looked = True
        await self.leases.step(
            LEASE_NAME, wanted=wanted, backed_until_s=self._backed_until_s()
        )
        self._peers.named_holder = self.leases.holder(LEASE_NAME)
        if self._finishing:
            # The lease is given up right after, and to an heir if need be;
            # resigned here, it would have none.
            return
        if self._was_holder and (not self.holds or self._alone_without_store()):
            # Renewals fail, yet the others may still hear this VM.
            self.resigned_version = self.leases.resign(LEASE_NAME)
            self._say_so()
        elif self.holds:
            self.resigned_version = 0
        elif self.leases.lapsed(LEASE_NAME) and not (self._claims or self._stopping()):
            # An heir whom not all others back; the store decides once it is back.
            self.leases.resign(LEASE_NAME)
        if self.holds and not self._was_holder:
            self.term_begun.set()
        self._was_holder = self.holds

    def _inherit(self, state: PeerState) -> None:
        if self.leases.inherit(
            LEASE_NAME,
            version=state.bequest.version,
            fence=state.bequest.fence,
            acted_ago_s=state.acted_ago_s,
        ):
            self._inherited_s = self._boot.monotonic_s()
            _log.info("lease_inherited", step="lease", by=state.entry_vm)
            self._say_so()

    def _backed_until_s(self) -> float:
        """Return until when the others are known to keep off the lease.

        In a crowd words are too far apart for that.
        """
        if self.leases.holder(LEASE_NAME) != self._me:
            return NEVER_BACKED_S
        gives_up = self._stopping() and not self._finishing
        if gives_up or self._peers.crowded:
            return NEVER_BACKED_S
        return self._backing.until_s(self._peers.backers())

    def _alone_without_store(self) -> bool:
        """Tell whether the store answers others while it fails this VM.

        When it answers nobody, nobody can take the lease, and its holder does
        best to keep it until it lapses.
        """
        overdue_s = self.leases.overdue_s(LEASE_NAME)
        if overdue_s < RESIGN_OVERDUE_S:
            return False
        return any(
            peer.state is not None
            and peer.state.store_ago_s < overdue_s - RESIGN_OVERDUE_S / 2
            for peer in self._peers.live()
        )

    def _moves_apart_s(self) -> float:
        return MOVES_APART_CROWDED_S if self._peers.crowded else 0.0

    def _say_so(self) -> None:
        if self.link is not None:
            self.link.tell()

    def _turn_s(self) -> float:
        # In a crowd only some VMs are heard lately; ranked among those, many
        # would take themselves for first and look at the same time.
        crowd = list(self._peers.peers.values())
        others = crowd if self._peers.crowded else self._peers.live()
        names = [self._me]
        names += [
            peer.name
            for peer in others
            if not (peer.state is not None and peer.state.stopping)
        ]
        place = ranked(LEASE_NAME, names).index(self._me)
        silent_s = HOLDER_SILENT_S
        if self._peers.crowded:
            silent_s = HOLDER_SILENT_CROWDED_S
        return silent_s + RANK_STEP_S * place

    async def give_up(self) -> None:
        """Hand the lease back before a planned stop, after the last order."""
        self._finishing = True
        try:
            await self.orders.finish(self._finish_s)
        finally:
            self._finishing = False
        held, self._was_holder = self._was_holder, False
        fence = self.leases.fence(LEASE_NAME)
        self.resigned_version = await self._hand_back()
        if held and self.leases.holder(LEASE_NAME) == self._me:
            # The store was not told: one VM goes on by this word instead.
            self.bequest = Bequest(self._heir(), self.resigned_version, fence)
            _log.info("lease_bequeathed", step="lease", peer=self.bequest.heir)
        self._say_so()

    async def _hand_back(self) -> int:
        """Hand the lease back in the store; return the version that ends, or 0.

        From the first moment on this VM acts no more, whether the store takes the
        lease back in time, late or not at all.
        """
        try:
            async with asyncio.timeout(HAND_BACK_S):
                return await self.leases.give_up(LEASE_NAME)
        except TimeoutError:
            _log.warning("lease_not_handed_back", step="lease", after_s=HAND_BACK_S)
            return self.leases.version(LEASE_NAME)

    def _heir(self) -> str:
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
        """Get an adapter onto an engine, by own order or by asking the holder."""
        if self.holds:
            return await self.orders.ensure_adapter(
                service, server.name, prompt.model, prompt.adapter
            )
        holder = self._peers.holder()
        if holder is None or self.link is None:
            return False
        ask = AdapterAsk(
            ask_id=uuid.uuid4().hex[:12],
            reply_to=self._address,
            server=server.name,
            service=service,
            model=prompt.model,
            adapter=prompt.adapter,
        )
        ready = await self.link.ask(ask, holder.address, limit_s=limit_s)
        if ready and prompt.model in server.held:
            server.held[prompt.model].add(prompt.adapter)
        return ready

    async def answer(self, ask: AdapterAsk) -> bool:
        """Answer another VM's question."""
        return self.holds and await self.orders.ensure_adapter(
            ask.service, ask.server, ask.model, ask.adapter
        )
