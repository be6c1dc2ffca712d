"""Reserve servers for crash suspects, so that no two share one; no I/O."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from rosepath.peer_statements import PeerStatements

# A request that crashes servers does so as it starts. One whose server has
# sent events for longer than this does not endanger the other requests there.
ISOLATION_S = 1.0
# How long an entry VM announces which server it has reserved before it sends
# the suspect: long enough for two state messages, of which one may be lost.
ANNOUNCEMENT_S = 0.2


class IsolatedRun(NamedTuple):
    """Describe a suspect's run to other VMs.

    `server` is reserved for it until `sent` is set.
    """

    entry_vm: str
    content_key: str
    server: str
    sent: bool = True


@dataclass(slots=True)
class _OwnRun:
    """Hold the attempt of a suspect that has reserved a server."""

    request_id: str
    server: str
    reserved_s: float
    sent: bool = False


class IsolatedRuns:
    """Own the isolated runs of this entry VM and those of its peers.

    Only one run of a suspect is in progress at a time across all entry VMs, as
    its outcome yields more information than another crash, and only one
    suspect is at a server at a time, as a crash otherwise tells nothing.
    """

    def __init__(
        self, me: str, *, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._me = me
        self._on_change = on_change
        self._own_runs: dict[str, _OwnRun] = {}
        self._peer_runs = PeerStatements[IsolatedRun](me)

    @property
    def has_own_runs(self) -> bool:
        """Return whether this VM has isolated runs."""
        return bool(self._own_runs)

    def reserved_server(self, content_key: str, *, request_id: str) -> str | None:
        """Return the server reserved for a suspect that was not sent yet."""
        own = self._own_runs.get(content_key)
        if own is None or own.sent or own.request_id != request_id:
            return None
        return own.server

    def may_run(self, content_key: str, *, request_id: str, now_s: float) -> bool:
        """Return whether no other run of a suspect is in progress.

        If several VMs have reserved servers for it, the first by name runs it
        and the others withdraw.
        """
        own = self._own_runs.get(content_key)
        if own is not None and own.request_id != request_id:
            return False
        for run in self._peer_runs.recent(now_s):
            if run.content_key == content_key and (own is None or self._yields_to(run)):
                self.end(content_key, request_id=request_id)
                return False
        return True

    def taken_servers(self, content_key: str, *, now_s: float) -> frozenset[str]:
        """Return the servers that a suspect must avoid for other suspects.

        If several VMs have reserved the same server, the first by name uses
        it.
        """
        own = self._own_runs.get(content_key)
        taken = {
            run.server
            for run in self._peer_runs.recent(now_s)
            if own is None or run.server != own.server or self._yields_to(run)
        }
        taken.update(
            run.server for key, run in self._own_runs.items() if key != content_key
        )
        return frozenset(taken)

    def reserve(
        self, content_key: str, *, request_id: str, server: str, now_s: float
    ) -> bool:
        """Reserve a server; return whether the suspect may be sent to it now.

        It may be once the other VMs have been told for `ANNOUNCEMENT_S`.
        """
        if not self.may_run(content_key, request_id=request_id, now_s=now_s):
            return False
        if server in self.taken_servers(content_key, now_s=now_s):
            self.end(content_key, request_id=request_id)
            return False
        own = self._own_runs.get(content_key)
        if own is None or own.server != server:
            own = self._own_runs[content_key] = _OwnRun(request_id, server, now_s)
            self._on_change()
        return now_s >= own.reserved_s + ANNOUNCEMENT_S

    def start(self, content_key: str, *, request_id: str, server: str) -> None:
        """Record that a suspect is sent to a server."""
        self._own_runs[content_key] = _OwnRun(request_id, server, -1e9, sent=True)
        self._on_change()

    def end(self, content_key: str, *, request_id: str) -> None:
        """End a run: it left its server, has run for long, or was refused."""
        own = self._own_runs.get(content_key)
        if own is not None and own.request_id == request_id:
            del self._own_runs[content_key]

    def apply_peer_runs(
        self, sender: str, runs: Iterable[IsolatedRun], *, now_s: float
    ) -> bool:
        """Apply the isolated runs that a peer sent; return whether any are new."""
        return self._peer_runs.apply(sender, runs, now_s=now_s)

    def runs(self, *, merged: bool, now_s: float) -> frozenset[IsolatedRun]:
        """Return the runs of this VM.

        With `merged`, include the runs received from other VMs.
        """
        own_runs = frozenset(
            IsolatedRun(self._me, content_key, run.server, run.sent)
            for content_key, run in self._own_runs.items()
        )
        return own_runs | self._peer_runs.recent(now_s) if merged else own_runs

    def _yields_to(self, run: IsolatedRun) -> bool:
        """Return whether a reservation of this VM ends in favor of a peer's run."""
        return run.sent or run.entry_vm < self._me
