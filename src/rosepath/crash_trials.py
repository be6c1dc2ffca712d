"""Where suspected requests run, so that no two of them meet at a server."""

from collections.abc import Mapping

# A request that crashes servers does so as it begins; one that its server answers
# for so long has passed.
TRIAL_S = 1.0


class CrashTrials:
    """Hold the servers at which suspects are, here and at other entry VMs."""

    def __init__(self) -> None:
        self._own: dict[str, str] = {}
        self._heard: dict[str, Mapping[str, str]] = {}

    def begin(self, content: str, server: str) -> None:
        """Note that a suspect goes to a server."""
        self._own[content] = server

    def end(self, content: str) -> None:
        """Note that a suspect left its server, or has run for long enough."""
        self._own.pop(content, None)

    def hear(self, entry_vm: str, trials: Mapping[str, str]) -> None:
        """Take in where another VM has suspects."""
        if trials:
            self._heard[entry_vm] = trials
        else:
            self._heard.pop(entry_vm, None)

    def forget(self, entry_vm: str) -> None:
        """Drop what a VM said that is silent by now."""
        self._heard.pop(entry_vm, None)

    @property
    def heard_of(self) -> list[str]:
        """Return the VMs that have suspects at servers."""
        return list(self._heard)

    def told(self, *, merged: bool) -> dict[str, str]:
        """Return where suspects are: this VM's, or all that it knows of."""
        told: dict[str, str] = {}
        if merged:
            for trials in self._heard.values():
                told.update(trials)
        return told | self._own

    def occupied(self, content: str) -> frozenset[str] | None:
        """Return the servers that a suspect must not go to now.

        None means that it must wait: the same request is at a server already, and
        what becomes of that one tells more than another end.
        """
        trials = self.told(merged=True)
        return None if content in trials else frozenset(trials.values())
