"""Find out which lost connections were ends of servers, and who was there."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from rosepath.clock import Clock
from rosepath.crash_records import Blame, CrashRecords, CrashReport, ServerLife
from rosepath.crash_trials import CrashTrials
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger

# A connection is refused within milliseconds where a machine lives.
LOOK_LIMIT_S = 0.2
# The entry of a server that ended is gone or new by then, three heartbeats later.
LOSS_KEPT_S = 5.0

_log = get_logger()

Refuses = Callable[..., Awaitable[bool]]


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """Describe a run whose connection was lost."""

    request_id: str
    content: str
    blame: Blame


@dataclass(slots=True)
class _Loss:
    """Hold the runs that a server lost, and the look at whether it ended."""

    lost_s: float
    runs: list[LostRun] = field(default_factory=list)
    look: asyncio.Task[None] | None = None


class CrashWatch:
    """Charge the requests of a server with its end.

    A reset connection alone is no end: a middlebox may have cut it. The server
    ended if it then refuses connections, or if its entry is gone or that of
    another life.
    """

    def __init__(
        self, *, clock: Clock, refuses: Refuses, on_news: Callable[[], None]
    ) -> None:
        self.records = CrashRecords(clock=clock)
        self.trials = CrashTrials()
        self._clock = clock
        self._refuses = refuses
        self._on_news = on_news
        self._losses: dict[ServerLife, _Loss] = {}

    async def note_lost(self, server: BackendServer, run: LostRun) -> None:
        """Note a lost run; return once it is known whether its server ended.

        Sent on before that, a request that crashes servers would end the next.
        A server that leaves loses what runs there to nobody's blame.
        """
        if not server.usable:
            return
        self._forget_old()
        life = life_of(server)
        loss = self._losses.setdefault(life, _Loss(self._clock.monotonic_s()))
        loss.runs.append(run)
        if loss.look is None:
            loss.look = asyncio.ensure_future(self._look(server))
        # One of many that wait may be cancelled, as its caller leaves.
        await asyncio.shield(loss.look)

    async def _look(self, server: BackendServer) -> None:
        if await self._refuses(server.address, limit_s=LOOK_LIMIT_S):
            self.note_ended(life_of(server))

    def note_ended(self, life: ServerLife) -> None:
        """Charge what a server lost lately with its end."""
        loss = self._losses.pop(life, None)
        if loss is None or loss.lost_s < self._clock.monotonic_s() - LOSS_KEPT_S:
            return
        for run in loss.runs:
            self._charge(CrashReport(run.content, life, run.blame), run.request_id)

    def _charge(self, report: CrashReport, request_id: str) -> None:
        if self.records.add(report):
            self._on_news()
        _log.info(
            "server_end_charged",
            request_id=request_id,
            content=report.content,
            peer=report.life.server,
            born_ms=report.life.born_ms,
            begun=report.blame is Blame.BEGUN,
            standing=self.records.standing(report.content).name.lower(),
        )

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic_s() - LOSS_KEPT_S
        for life, loss in list(self._losses.items()):
            if loss.lost_s < limit_s:
                del self._losses[life]


def life_of(server: BackendServer) -> ServerLife:
    """Return which life of a server this is."""
    return ServerLife(server.name, server.entry.born_ms)
