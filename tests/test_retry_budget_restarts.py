"""The retry budget while entry VMs restart and have not heard of each other."""

import pytest
from entry_builders import entry_settings

from rosepath.clock import ManualClock
from rosepath.entry_node import EntryNode

VMS = 9
SERVICE = "desk"
RESTART_S = 0.5


class RestartingFleet:
    """Entry VMs whose callers' requests are all rejected, and their retries.

    No request arrives, so that the budget is its slack alone.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._nodes = {name: self._start(name) for name in self._names()}
        self.retries_s: list[float] = []

    @staticmethod
    def _names() -> list[str]:
        return [f"vm-{number}" for number in range(VMS)]

    def _start(self, name: str) -> EntryNode:
        """Start a process that has heard of no other VM yet."""
        return EntryNode(entry_settings(name))

    def restart(self, name: str) -> None:
        self._nodes[name] = self._start(name)

    def restart_all(self) -> None:
        for name in self._names():
            self.restart(name)

    def introduce(self) -> None:
        """Let all VMs know of each other."""
        for node in self._nodes.values():
            for number, name in enumerate(self._names()):
                node.peers.note_address(name, f"10.0.0.{number}:1")

    def send_all_retries(self) -> None:
        """Send each retry that the VMs allow now."""
        for node in self._nodes.values():
            budget = node._budget(SERVICE)
            while budget.reserve():
                budget.consume()
                self.retries_s.append(self._clock.monotonic_s())

    @property
    def slack(self) -> float:
        return self._nodes["vm-0"].settings.retries.slack

    @property
    def most_in_a_window(self) -> int:
        window_s = self._nodes["vm-0"].settings.retries.window_s
        return max(
            (
                sum(from_s <= at_s < from_s + window_s for at_s in self.retries_s)
                for from_s in self.retries_s
            ),
            default=0,
        )


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    clock = ManualClock()
    monkeypatch.setattr("rosepath.entry_node.SystemClock", lambda: clock)
    monkeypatch.setattr("rosepath.entry_node.BootClock", lambda: clock)
    return clock


# Guards against VMs that have just started and have not heard of each other, each
# of which sends the whole fleet's retries.
def test_vms_that_start_together_keep_to_one_retry_budget(clock: ManualClock) -> None:
    fleet = RestartingFleet(clock)
    fleet.send_all_retries()
    clock.advance(RESTART_S)
    fleet.introduce()
    fleet.send_all_retries()
    assert fleet.most_in_a_window <= fleet.slack


# Guards against a restarted VM that sends the retries again which its last
# process has just sent.
def test_restarts_in_series_keep_to_one_retry_budget(clock: ManualClock) -> None:
    fleet = RestartingFleet(clock)
    fleet.introduce()
    clock.advance(60.0)
    fleet.send_all_retries()
    for _ in range(4):
        clock.advance(RESTART_S)
        fleet.restart_all()
        fleet.introduce()
        fleet.send_all_retries()
    assert fleet.most_in_a_window <= fleet.slack


# Guards against a budget that is never used again after a restart.
def test_a_restarted_fleet_uses_its_retry_budget_again(clock: ManualClock) -> None:
    fleet = RestartingFleet(clock)
    fleet.introduce()
    clock.advance(fleet._nodes["vm-0"].settings.retries.window_s + RESTART_S)
    fleet.send_all_retries()
    assert fleet.most_in_a_window >= 0.5 * fleet.slack


# Guards against retries for requests from before a VM's machine was suspended, a time
# which the steady clock does not count.
def test_requests_from_before_a_suspension_allow_no_retries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steady, boot = ManualClock(), ManualClock()
    monkeypatch.setattr("rosepath.entry_node.SystemClock", lambda: steady)
    monkeypatch.setattr("rosepath.entry_node.BootClock", lambda: boot)
    budget = EntryNode(entry_settings("vm-0"))._budget(SERVICE)
    for _ in range(1000):
        budget.note_request()
    assert budget.available > 0
    boot.advance(2 * budget.window_s)
    budget.slack = 0.0
    assert budget.available <= 0
