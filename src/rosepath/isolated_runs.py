"""Track where crash suspects run, so that no two share a server; no I/O."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

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


@dataclass(slots=True)
class _IsolatedRun:
    """The attempt of a suspect that may run; `server` is empty until sent."""

    request_id: str
    announced_s: float
    server: str = ""


class IsolatedRuns:
    """Own the isolated runs of this entry VM and those of its peers."""

    def __init__(self, *, on_started: Callable[[], None] = lambda: None) -> None:
        self._on_started = on_started
        self._own_runs: dict[str, _IsolatedRun] = {}
        # By entry VM: when its runs were received, and the server by content
        # key, which is empty if a run is only announced.
        self._peer_runs: dict[str, tuple[float, Mapping[str, str]]] = {}

    @property
    def has_own_runs(self) -> bool:
        """Return whether this VM has isolated runs."""
        return bool(self._own_runs)

    def may_start(
        self,
        content_key: str,
        *,
        me: str,
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
        peer_runs = self._recent_peer_runs(now_s)
        competing_runs = {
            vm: runs[content_key] for vm, runs in peer_runs if content_key in runs
        }
        own = self._own_runs.get(content_key)
        if own is None:
            if competing_runs:
                return False
            own = self._own_runs[content_key] = _IsolatedRun(request_id, now_s)
            if announces:
                self._on_started()
        if own.request_id != request_id:
            return False
        if not announces:
            return True
        if any(vm < me or server for vm, server in competing_runs.items()):
            del self._own_runs[content_key]
            return False
        return now_s >= own.announced_s + ANNOUNCEMENT_S

    def start(self, content_key: str, *, request_id: str, server: str) -> None:
        """Record that a suspect is sent to a server."""
        self._own_runs[content_key] = _IsolatedRun(request_id, -1e9, server)
        self._on_started()

    def end(self, content_key: str, *, request_id: str) -> None:
        """End a run: it left its server, has run for long, or was refused."""
        own = self._own_runs.get(content_key)
        if own is not None and own.request_id == request_id:
            del self._own_runs[content_key]

    def apply_peer_runs(
        self, entry_vm: str, runs: Mapping[str, str], *, now_s: float
    ) -> bool:
        """Apply the isolated runs of a peer; return whether any are new."""
        _, known = self._peer_runs.get(entry_vm, (now_s, {}))
        if runs:
            self._peer_runs[entry_vm] = now_s, runs
        else:
            self._peer_runs.pop(entry_vm, None)
        return bool(runs.keys() - known.keys())

    def servers_by_key(self, *, merged: bool, now_s: float) -> dict[str, str]:
        """Return the server of each run by content key.

        With `merged`, include the runs received from other VMs.
        """
        servers: dict[str, str] = {}
        if merged:
            for _, runs in self._recent_peer_runs(now_s):
                servers.update(runs)
        return servers | {key: run.server for key, run in self._own_runs.items()}

    def servers(self, *, now_s: float) -> frozenset[str]:
        """Return the servers at which suspects run isolated."""
        return frozenset(self.servers_by_key(merged=True, now_s=now_s).values()) - {""}

    def _recent_peer_runs(self, now_s: float) -> list[tuple[str, Mapping[str, str]]]:
        """Return the runs of other VMs, without those that expired."""
        limit_s = now_s - PEER_RUNS_TTL_S
        return [
            (vm, runs)
            for vm, (received_s, runs) in self._peer_runs.items()
            if received_s > limit_s
        ]
