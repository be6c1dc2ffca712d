"""Where suspected requests run, so that no two of them meet at a server; pure."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

# A request that crashes servers does so as it begins; one that its server answers
# for so long has passed.
TRIAL_S = 1.0
# How long a claim is told before its request goes: each VM hears two words of it,
# of which one may be lost.
CLAIM_S = 0.2
# A word of where suspects are is renewed by then: by each VM where they are few, by
# the holder's word in a crowd.
HEARD_S = 2.0


@dataclass(slots=True)
class _Trial:
    """Hold the request that is tried; `server` is empty until it goes to one."""

    request_id: str
    claimed_s: float
    server: str = ""


class CrashTrials:
    """Hold the suspects that are tried, here and at other entry VMs."""

    def __init__(self, *, on_begun: Callable[[], None] = lambda: None) -> None:
        self._on_begun = on_begun
        self._own: dict[str, _Trial] = {}
        # When each VM spoke last of suspects, and by content the server, or nothing
        # where it is only claimed.
        self._heard: dict[str, tuple[float, Mapping[str, str]]] = {}

    @property
    def any_own(self) -> bool:
        """Tell whether any suspect of this VM is tried."""
        return bool(self._own)

    def may_begin(
        self, content: str, *, me: str, request_id: str, now_s: float, claims: bool
    ) -> bool:
        """Tell whether a suspect may go to a server now.

        One of its repeats is tried at a time, wherever they come: what becomes of
        it tells more than another end. With `claims` the trial is told of before it
        begins; of VMs that claim it at once, the first by name has it.
        """
        heard = self._heard_by(now_s)
        rivals = {vm: trials[content] for vm, trials in heard if content in trials}
        own = self._own.get(content)
        if own is None:
            if rivals:
                return False
            own = self._own[content] = _Trial(request_id, now_s)
            if claims:
                self._on_begun()
        if own.request_id != request_id:
            return False
        if not claims:
            return True
        if any(vm < me or server for vm, server in rivals.items()):
            del self._own[content]
            return False
        return now_s >= own.claimed_s + CLAIM_S

    def begin(self, content: str, *, request_id: str, server: str) -> None:
        """Note that a suspect goes to a server."""
        self._own[content] = _Trial(request_id, -1e9, server)
        self._on_begun()

    def end(self, content: str, *, request_id: str) -> None:
        """Note that a suspect left its server, has run for long enough, or gave up."""
        own = self._own.get(content)
        if own is not None and own.request_id == request_id:
            del self._own[content]

    def hear(self, entry_vm: str, trials: Mapping[str, str], *, now_s: float) -> bool:
        """Take in where another VM has suspects; return whether some are new."""
        _, known = self._heard.get(entry_vm, (now_s, {}))
        if trials:
            self._heard[entry_vm] = now_s, trials
        else:
            self._heard.pop(entry_vm, None)
        return bool(trials.keys() - known.keys())

    def told(self, *, merged: bool, now_s: float) -> dict[str, str]:
        """Return where suspects are: this VM's, or all that it knows of."""
        told: dict[str, str] = {}
        if merged:
            for _, trials in self._heard_by(now_s):
                told.update(trials)
        return told | {content: trial.server for content, trial in self._own.items()}

    def servers(self, *, now_s: float) -> frozenset[str]:
        """Return the servers at which a suspect is."""
        return frozenset(self.told(merged=True, now_s=now_s).values()) - {""}

    def _heard_by(self, now_s: float) -> list[tuple[str, Mapping[str, str]]]:
        """Return what VMs said lately; one that died says nothing more."""
        limit_s = now_s - HEARD_S
        return [
            (vm, trials)
            for vm, (heard_s, trials) in self._heard.items()
            if heard_s > limit_s
        ]
