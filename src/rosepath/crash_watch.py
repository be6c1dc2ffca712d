"""Find out which lost connections were ends of servers, and who was there."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosepath.clock import Clock
from rosepath.crash_records import (
    ENDS_TO_BAR,
    Blame,
    CrashRecords,
    CrashReport,
    ServerLife,
)
from rosepath.crash_trials import CrashTrials
from rosepath.fleet import BackendServer
from rosepath.http_client import Contact
from rosepath.logs import get_logger

# A connection is refused within milliseconds where a machine lives.
PROBE_LIMIT_S = 0.2
# The entry of a server that ended is gone or new by then, after three heartbeats and
# a look at the store.
LOSS_KEPT_S = 8.0

_log = get_logger()


class Probe(Protocol):
    """Ask whether somebody listens at an address."""

    async def __call__(self, address: str, *, limit_s: float) -> Contact: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """Describe a run whose connection was lost."""

    request_id: str
    content: str
    blame: Blame
    lost_s: float


class CrashWatch:
    """Charge the requests of a server with its end.

    A reset connection alone is no end: a middlebox may have cut it. The server
    ended if it then refuses connections, or if its entry is gone or that of
    another life.
    """

    def __init__(
        self, me: str, *, clock: Clock, probe: Probe, on_news: Callable[[], None]
    ) -> None:
        self._me = me
        self.records = CrashRecords(clock=clock)
        self.trials = CrashTrials(on_begun=on_news)
        self._clock = clock
        self._probe = probe
        self._on_news = on_news
        self._lost: dict[ServerLife, list[LostRun]] = {}
        self._probes: dict[ServerLife, asyncio.Task[None]] = {}

    def note_silent(self, server: BackendServer, run: LostRun) -> None:
        """Note a run that was broken off for the silence of its server.

        Nobody asks whether such a server still listens: if its machine is dark,
        that would only cost the request more time. Its entry will tell.
        """
        if server.usable:
            self._forget_old()
            self._lost.setdefault(life_of(server), []).append(run)

    async def note_lost(self, server: BackendServer, run: LostRun) -> None:
        """Note a lost run; return once it is known whether its server ended.

        Sent on before that, a request that crashes servers would end the next.
        A server that leaves loses what runs there to nobody's blame.
        """
        if not server.usable:
            return
        self.note_silent(server, run)
        life = life_of(server)
        probe = self._probes.get(life)
        if probe is None:
            probe = asyncio.ensure_future(self._find_out(server.address, life))
            self._probes[life] = probe
        # Of many that wait for it, one may be cancelled as its caller leaves.
        await asyncio.shield(probe)

    async def _find_out(self, address: str, life: ServerLife) -> None:
        begun_s = self._clock.monotonic_s()
        try:
            contact = await self._probe(address, limit_s=PROBE_LIMIT_S)
        finally:
            del self._probes[life]
        if contact is Contact.REFUSED:
            self.note_ended(life)
        elif contact is Contact.ACCEPTED:
            self._forget(life, until_s=begun_s)

    def note_ended(self, life: ServerLife) -> None:
        """Charge what a server lost lately with its end."""
        self._forget_old()
        for run in self._lost.pop(life, ()):
            self._charge(CrashReport(run.content, life, run.blame), run.request_id)

    def may_go(self, content: str, *, request_id: str) -> bool:
        """Tell whether a suspect may go to a server now, apart from others."""
        return self.trials.may_begin(
            content,
            me=self._me,
            request_id=request_id,
            now_s=self._clock.monotonic_s(),
            claims=self._is_dangerous(content),
        )

    def pass_trial(self, content: str, *, request_id: str) -> bool:
        """End a suspect's trial after a while; return whether it is over.

        One that was at enough ends to be barred stays apart for its whole run.
        """
        if self._is_dangerous(content):
            return False
        self.trials.end(content, request_id=request_id)
        return True

    def _is_dangerous(self, content: str) -> bool:
        return self.records.open_ends(content) >= ENDS_TO_BAR

    def excuse(self, content: str) -> None:
        """Note that a run of a request was whole."""
        if self.records.excuse(content):
            self._on_news()

    def _charge(self, report: CrashReport, request_id: str) -> None:
        if self.records.add(report):
            self._on_news()
        _log.info(
            "server_end_charged",
            request_id=request_id,
            content=report.content,
            peer=report.life.server,
            born_ms=report.life.born_ms,
            blame=report.blame.name.lower(),
            standing=self.records.standing(report.content).name.lower(),
        )

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic_s() - LOSS_KEPT_S
        for life in list(self._lost):
            self._forget(life, until_s=limit_s)

    def _forget(self, life: ServerLife, *, until_s: float) -> None:
        """Forget what a server lost until then."""
        left = [run for run in self._lost.pop(life, ()) if run.lost_s > until_s]
        if left:
            self._lost[life] = left


def life_of(server: BackendServer) -> ServerLife:
    """Return which life of a server this is."""
    return ServerLife(server.name, server.entry.born_ms)
