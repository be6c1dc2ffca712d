"""Where suspected requests run, so that no two of them share a server; pure."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

# A request that crashes servers does so as it begins; one that its server answers
# for so long is no danger to the requests beside it.
ISOLATED_S = 1.0
# How long a VM announces an isolated run before it starts: the others hear two
# datagrams of it, of which one may be lost.
ANNOUNCED_S = 0.2
# What a VM tells of its isolated runs is renewed by then: by the VM itself where they
# are few, by the lease's holder in a crowd.
HEARD_S = 2.0


@dataclass(slots=True)
class _IsolatedRun:
    """Hold which retry of a suspect runs; `server` is empty until it is sent."""

    request_id: str
    announced_s: float
    server: str = ""


class IsolatedRuns:
    """Hold the isolated runs of suspects, here and at other entry VMs."""

    def __init__(self, *, on_started: Callable[[], None] = lambda: None) -> None:
        self._on_started = on_started
        self._own: dict[str, _IsolatedRun] = {}
        # When each VM told of its runs, and by content key the server, which is
        # empty where a run is only announced.
        self._heard: dict[str, tuple[float, Mapping[str, str]]] = {}

    @property
    def any_own(self) -> bool:
        """Tell whether this VM has an isolated run."""
        return bool(self._own)

    def may_start(
        self,
        content_key: str,
        *,
        me: str,
        request_id: str,
        now_s: float,
        announces: bool,
    ) -> bool:
        """Tell whether a suspect may be sent to a server now.

        Of its retries one runs at a time, whichever VMs they reach: its outcome tells
        more than another crash. With `announces` the others are told before; of VMs
        that announce a run of the same request at once, the first by name has it.
        """
        heard = self._heard_lately(now_s)
        rivals = {vm: runs[content_key] for vm, runs in heard if content_key in runs}
        own = self._own.get(content_key)
        if own is None:
            if rivals:
                return False
            own = self._own[content_key] = _IsolatedRun(request_id, now_s)
            if announces:
                self._on_started()
        if own.request_id != request_id:
            return False
        if not announces:
            return True
        if any(vm < me or server for vm, server in rivals.items()):
            del self._own[content_key]
            return False
        return now_s >= own.announced_s + ANNOUNCED_S

    def start(self, content_key: str, *, request_id: str, server: str) -> None:
        """Note that a suspect is sent to a server."""
        self._own[content_key] = _IsolatedRun(request_id, -1e9, server)
        self._on_started()

    def end(self, content_key: str, *, request_id: str) -> None:
        """Note that a suspect left its server, has run for long, or was refused."""
        own = self._own.get(content_key)
        if own is not None and own.request_id == request_id:
            del self._own[content_key]

    def hear(self, entry_vm: str, runs: Mapping[str, str], *, now_s: float) -> bool:
        """Take in the isolated runs of another VM; return whether some are new."""
        _, known = self._heard.get(entry_vm, (now_s, {}))
        if runs:
            self._heard[entry_vm] = now_s, runs
        else:
            self._heard.pop(entry_vm, None)
        return bool(runs.keys() - known.keys())

    def told(self, *, merged: bool, now_s: float) -> dict[str, str]:
        """Return the server of each run: this VM's, or all that it knows of."""
        told: dict[str, str] = {}
        if merged:
            for _, runs in self._heard_lately(now_s):
                told.update(runs)
        return told | {key: run.server for key, run in self._own.items()}

    def servers(self, *, now_s: float) -> frozenset[str]:
        """Return the servers at which a suspect runs isolated."""
        return frozenset(self.told(merged=True, now_s=now_s).values()) - {""}

    def _heard_lately(self, now_s: float) -> list[tuple[str, Mapping[str, str]]]:
        """Return what VMs told lately; one that died tells nothing more."""
        limit_s = now_s - HEARD_S
        return [
            (vm, runs)
            for vm, (heard_s, runs) in self._heard.items()
            if heard_s > limit_s
        ]
