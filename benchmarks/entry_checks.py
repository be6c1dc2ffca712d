"""Whether a soak of entry VMs kept the promises, by what callers and servers saw."""

from collections.abc import Callable
from dataclasses import dataclass

from rosepath_standins.entry_fleet import (
    APPLY_S,
    CRASHING,
    DRAIN_S,
    EVENTS,
    RETRY_AFTER_S,
    SETTLE_S,
    AddedRoute,
    EntryFleet,
)

# How long callers wait, as they say with each request.
WAIT_S = 4.0
# After so long without trouble a VM is held to its bounds again.
CONTACT_S = SETTLE_S
# A server is left alone from so long after it shed a request.
HEEDED_S = 0.5
# What may reach a server in its backoff, and once a request crashed three.
SENDS_IN_BACKOFF = 2
SENDS_AFTER_THIRD = 3


@dataclass(slots=True)
class Answered:
    """Hold what a caller got: no status is a connection that closed."""

    request_id: str
    vm: str
    path: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes


@dataclass(slots=True)
class EntryChecks:
    """Hold what callers got, and what was done to the fleet before which they were."""

    fleet: EntryFleet
    answered: list[Answered]

    def failures(self, *, timed: bool = True) -> dict[str, list[str]]:
        """Return what broke, by the rule that it broke.

        Without `timed` only rules count that hold on a machine that stands still for
        seconds, too.
        """
        checks: dict[str, Callable[[], list[str]]] = {
            "whole answers": self._not_whole,
            "at most once": self._run_twice,
            "true refusals": self._refused_and_run,
            "nothing else is quarantined": self._quarantined,
        }
        timed_checks: dict[str, Callable[[], list[str]]] = {
            "no work for a server that said it leaves": self._sent_to_leaving,
            "no work in a backoff": self._sent_in_backoff,
            "three crashes are enough": self._crashed_on,
            "answers in time": self._late,
            "planned stops cut nothing": self._cut,
            "configurations in force": self._outdated,
        }
        if timed:
            checks |= timed_checks
        return {rule: found for rule, check in checks.items() if (found := check())}

    def _not_whole(self) -> list[str]:
        return [
            f"{one.request_id} {one.path} {one.body[:60]!r}"
            for one in self.answered
            if one.status == 200 and one.body != _whole(one)
        ]

    def _run_twice(self) -> list[str]:
        runs = self.fleet.witness.runs
        return [
            one.request_id
            for one in self.answered
            if one.path.startswith("/file/") and runs[one.request_id] > 1
        ]

    def _refused_and_run(self) -> list[str]:
        runs = self.fleet.witness.runs
        return [
            f"{one.request_id} {one.path} {one.status}"
            for one in self.answered
            if one.status in (408, 421, 429, 503) and runs[one.request_id]
        ]

    def _sent_to_leaving(self) -> list[str]:
        told = self.fleet.witness.told_leaving_s
        return [
            f"{server} from {vm} {at_s - told[server, vm]:.2f} s after"
            for server, vm, at_s in self.fleet.witness.reached
            if at_s - told.get((server, vm), at_s) > DRAIN_S
            and self.fleet.vms[vm].undisturbed(told[server, vm], at_s)
        ]

    def _sent_in_backoff(self) -> list[str]:
        found = []
        for server, vm, shed_s in self.fleet.witness.sheds:
            until_s = shed_s + RETRY_AFTER_S
            sent = [
                at_s
                for name, by, at_s in self.fleet.witness.reached
                if (name, by) == (server, vm) and shed_s + HEEDED_S < at_s < until_s
            ]
            calm = self.fleet.vms[vm].undisturbed(shed_s, until_s)
            if calm and len(sent) > SENDS_IN_BACKOFF:
                found.append(f"{server} from {vm}: {len(sent)}")
        return found

    def _crashed_on(self) -> list[str]:
        found = []
        for path, crashes_s in self.fleet.witness.crashes_s.items():
            if len(crashes_s) < 3:
                continue
            known_s = crashes_s[2] + CONTACT_S
            sent = sum(
                at_s > known_s
                and self.fleet.vms[vm].undisturbed(at_s - CONTACT_S, at_s)
                for sent_path, vm, at_s in self.fleet.witness.crashing
                if sent_path == path
            )
            if sent > SENDS_AFTER_THIRD:
                found.append(
                    f"{path}: sent {sent} times more, {len(crashes_s)} crashes"
                )
        return found

    def _quarantined(self) -> list[str]:
        return [
            f"{one.request_id} {one.path}"
            for one in self.answered
            if b"crashes_servers" in one.body and not one.path.startswith(CRASHING)
        ]

    def _late(self) -> list[str]:
        return [
            f"{one.request_id} {one.path} {one.ended_s - one.sent_s:.2f} s"
            for one in self.answered
            if one.ended_s - one.sent_s > WAIT_S + 0.5
            and self.fleet.vms[one.vm].undisturbed(one.sent_s - CONTACT_S, one.ended_s)
        ]

    def _outdated(self) -> list[str]:
        return [
            f"{one.request_id} {one.path} {one.status} by {one.vm}"
            for one in self.answered
            if (route := self.fleet.added.get(one.path.split("/")[1])) is not None
            and self._handled_by_older(one, route)
            and self._could_know(one)
        ]

    def _handled_by_older(self, one: Answered, route: AddedRoute) -> bool:
        known_s = one.sent_s - APPLY_S
        if route.dropped_s < known_s:
            return self.fleet.witness.runs[one.request_id] > 0
        unknown = one.status == 404 or b"configuration_outdated" in one.body
        return unknown and route.added_s < known_s and one.ended_s < route.dropping_s

    def _could_know(self, one: Answered) -> bool:
        """Tell whether its VM ran all along, and it or one that did had the store."""
        from_s = one.sent_s - CONTACT_S

        def any_of(spans_s: list[tuple[float, float]]) -> bool:
            return any(at_s < one.ended_s and from_s < to_s for at_s, to_s in spans_s)

        ran = [
            vm
            for vm in self.fleet.vms.values()
            if vm.undisturbed(from_s, one.ended_s) and not any_of(vm.stops_s)
        ]
        stalls_s = self.fleet.stalls_s
        informed = any(not any_of(vm.parted_s + stalls_s) for vm in ran)
        return informed and self.fleet.vms[one.vm] in ran

    def _cut(self) -> list[str]:
        arrivals = self.fleet.witness.arrivals
        found = []
        for one in self.answered:
            vm = self.fleet.vms[one.vm]
            stopping = any(one.sent_s < at_s < one.ended_s for at_s in vm.stopped_s)
            calm = vm.undisturbed(one.sent_s - CONTACT_S, one.ended_s + 0.1)
            safe = one.path.startswith("/file/") and arrivals[one.request_id]
            if one.status == 0 and stopping and calm and safe:
                found.append(f"{one.request_id} {one.path}")
        return found


def _whole(one: Answered) -> bytes:
    if one.path.startswith("/draft/"):
        events = range(1, EVENTS + 1)
        return b"".join(
            f"id: {number}\ndata: {one.request_id}\n\n".encode() for number in events
        )
    return f"{one.path} {one.request_id}".encode()
