"""Track where crash suspects run, so that no two share a server; no I/O."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

# A request that crashes servers does so as it starts. One whose server has
# sent events for longer than this does not endanger the other requests there.
ISOLATION_S = 1.0
# How long an entry VM announces an isolated run before it starts: long enough
# for two state messages, of which one may be lost.
ANNOUNCEMENT_S = 0.2
# Isolated runs of another entry VM expire after this unless received again:
# from that VM in a small fleet, from the holder of the placement lease in a
# large one.
PEER_RUNS_TTL_S = 2.0


class IsolatedRun(NamedTuple):
    """Describe a suspect's run to other VMs; `server` is empty until sent."""

    entry_vm: str
    content_key: str
    server: str = ""


@dataclass(slots=True)
class _OwnRun:
    """Hold the attempt of a suspect that may run; `server` is empty until sent."""

    request_id: str
    announced_s: float
    server: str = ""


class IsolatedRuns:
    """Own the isolated runs of this entry VM and those of its peers."""

    def __init__(
        self, me: str, *, on_started: Callable[[], None] = lambda: None
    ) -> None:
        self._me = me
        self._on_started = on_started
        self._own_runs: dict[str, _OwnRun] = {}
        # By sender: when it last sent runs of VMs other than this one.
        self._peer_runs: dict[str, tuple[float, frozenset[IsolatedRun]]] = {}

    @property
    def has_own_runs(self) -> bool:
        """Return whether this VM has isolated runs."""
        return bool(self._own_runs)

    def may_start(
        self,
        content_key: str,
        *,
        request_id: str,
        now_s: float,
        announces: bool,
    ) -> bool:
        """Return whether a suspect may be sent to a server now.

        Only one of its retries runs at a time across all entry VMs, as its
        outcome yields more information than another crash. With `announces`,
        the run is announced to the other VMs first. If several VMs announce a
        run of the same request at once, the first by name runs it.
        """
        competing_runs = [
            run
            for run in self._recent_peer_runs(now_s)
            if run.content_key == content_key
        ]
        own = self._own_runs.get(content_key)
        if own is None:
            if competing_runs:
                return False
            own = self._own_runs[content_key] = _OwnRun(request_id, now_s)
            if announces:
                self._on_started()
        if own.request_id != request_id:
            return False
        if not announces:
            return True
        if any(run.entry_vm < self._me or run.server for run in competing_runs):
            del self._own_runs[content_key]
            return False
        return now_s >= own.announced_s + ANNOUNCEMENT_S

    def start(self, content_key: str, *, request_id: str, server: str) -> None:
        """Record that a suspect is sent to a server."""
        self._own_runs[content_key] = _OwnRun(request_id, -1e9, server)
        self._on_started()

    def end(self, content_key: str, *, request_id: str) -> None:
        """End a run: it left its server, has run for long, or was refused."""
        own = self._own_runs.get(content_key)
        if own is not None and own.request_id == request_id:
            del self._own_runs[content_key]

    def apply_peer_runs(
        self, sender: str, runs: Iterable[IsolatedRun], *, now_s: float
    ) -> bool:
        """Apply the isolated runs that a peer sent; return whether any are new.

        In a large fleet, the holder of the placement lease also forwards the
        runs of this VM, which do not compete with themselves.
        """
        received = frozenset(run for run in runs if run.entry_vm != self._me)
        _, known = self._peer_runs.get(sender, (now_s, frozenset()))
        if received:
            self._peer_runs[sender] = now_s, received
        else:
            self._peer_runs.pop(sender, None)
        return bool(received - known)

    def runs(self, *, merged: bool, now_s: float) -> frozenset[IsolatedRun]:
        """Return the runs of this VM.

        With `merged`, include the runs received from other VMs.
        """
        own_runs = frozenset(
            IsolatedRun(self._me, content_key, run.server)
            for content_key, run in self._own_runs.items()
        )
        return own_runs | self._recent_peer_runs(now_s) if merged else own_runs

    def servers(self, *, now_s: float) -> frozenset[str]:
        """Return the servers at which suspects run isolated."""
        runs = self.runs(merged=True, now_s=now_s)
        return frozenset(run.server for run in runs) - {""}

    def _recent_peer_runs(self, now_s: float) -> frozenset[IsolatedRun]:
        """Return the runs of other VMs, without those that expired."""
        limit_s = now_s - PEER_RUNS_TTL_S
        return frozenset(
            run
            for received_s, runs in self._peer_runs.values()
            if received_s > limit_s
            for run in runs
        )
