"""Check a soak of entry VMs by what its callers and servers recorded."""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from rosepath_standins.entry_fleet import (
    APPLY_S,
    CRASHING_PART,
    CRASHING_PATH,
    DRAIN_S,
    EVENTS_PER_STREAM,
    MAX_ATTEMPTS,
    RETRY_AFTER_S,
    SETTLE_S,
    STREAM_PATHS,
    AddedRoute,
    EntryFleet,
    StatedLimit,
    whole_streams,
)
from rosepath_standins.stream_caller import CallerStream

# The deadline that callers send with each request.
REQUEST_DEADLINE_S = 4.0
# How much more time than its caller has left a server may be given.
DEADLINE_TOLERANCE_S = 0.5
# Requests that may run more often than their route allows, as the servers that ran
# them may have ended.
REQUESTS_OVER_ATTEMPTS = 3
# A VM must meet its time limits again once it ran this long without a fault.
RECOVERY_S = SETTLE_S
# The time a VM has to apply the backoff of a server that shed a request.
BACKOFF_APPLIED_AFTER_S = 0.5
# Requests allowed to reach a server during its backoff.
SENDS_IN_BACKOFF = 2
# After so many crashes their cause is to be known, a request or a part of prompts,
# and requests with it that may be sent after that.
CRASHES = 3
CRASHES_OF_PART = 5
SENDS_ONCE_KNOWN = 3
# Sound requests that share parts with the cause, if there are so many, are then
# served at least so often, beside all others.
MIN_SOUND_REQUESTS = 20
MIN_SOUND_SHARE = 0.5
# In any window of this length, a server that states a rate limit may get one and
# a half times what the limit allows and a few requests more, from the VMs that
# have known of the limit for a moment.
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5
LIMIT_EXTRA = 5
LIMIT_APPLIED_AFTER_S = 0.5
# In any window, a service may get so many retries: a share of the requests in
# this window or in one of the two that begin half a window and a whole one before
# it, and the largest slack that the soak sets.
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
MAX_RETRY_SLACK = 80.0
# Of at least so many streams that callers take up, while so many servers of their
# version serve, this share of the share of new streams that begin must go on.
MIN_TAKEN_UP = 12
MIN_SERVERS = 2
MIN_GOING_ON = 0.5
# The memory that the smallest entry VMs have.
MAX_MEMORY_BYTES = 200_000_000
# Paths of requests that may run once.
ONCE_PATHS = ("/file/", "/once/")


@dataclass(slots=True)
class CallerResponse:
    """What a caller received; status 0 is a connection that closed."""

    request_id: str
    vm: str
    path: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes
    # When the last byte of the request was sent, if that took long.
    whole_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamAttemptRecord:
    """Record one attempt of a caller to begin a stream or to take it up.

    `servers` of the stream's software version served when it was sent.
    """

    vm: str
    sent_s: float
    ended_s: float
    continues: bool
    servers: int
    went_on: bool


@dataclass(slots=True)
class TakenUpStream:
    """Hold a caller's stream and its attempts."""

    caller: CallerStream
    attempts: list[StreamAttemptRecord] = field(default_factory=list)


def describe_streams(streams: list[TakenUpStream]) -> dict[str, int]:
    """Count the streams, those taken up, and the attempts that took one up."""
    attempts = [attempt for stream in streams for attempt in stream.attempts]
    continuing = [attempt for attempt in attempts if attempt.continues]
    return {
        "begun": len(streams),
        "complete": sum(stream.caller.complete for stream in streams),
        "taken_up": len(continuing),
        "went_on": sum(attempt.went_on for attempt in continuing),
    }


@dataclass(slots=True)
class EntryChecks:
    """Rules checked on what callers received, given the faults injected."""

    fleet: EntryFleet
    responses: list[CallerResponse]
    streams: list[TakenUpStream] = field(default_factory=list)
    most_memory_bytes: int = 0
    # Requests whose heads came in two pieces.
    sent_in_pieces: set[str] = field(default_factory=set)
    # Requests that share parts of their prompts with those that crash servers.
    with_prompts: set[str] = field(default_factory=set)

    def failures(self, *, timed: bool = True) -> dict[str, list[str]]:
        """Return the violations found, by rule.

        Without `timed`, skip the rules with time limits, which a machine that
        stalls for seconds breaks even if the entry VMs are correct.
        """
        checks: dict[str, Callable[[], list[str]]] = {
            "responses are complete": self._incomplete,
            "streams are of one software version": self._of_two_versions,
            "at most once": self._run_twice,
            "attempts of a request": self._over_attempts,
            "refused requests did not run": self._refused_and_run,
            "only crashing requests are quarantined": self._wrongly_quarantined,
            "memory of entry VMs": self._over_memory,
        }
        timed_checks: dict[str, Callable[[], list[str]]] = {
            "no work for a draining server": self._sent_to_draining,
            "no work during a backoff": self._sent_in_backoff,
            "no work for a known cause of crashes": self._sent_once_known,
            "sound requests beside a cause of crashes": self._sound_unserved,
            "rate limits of servers": self._over_limit,
            "retry budget": self._over_retry_budget,
            "deadlines of servers": self._beyond_deadline,
            "streams go on": self._not_gone_on,
            "responses in time": self._late,
            "planned stops cut no request": self._cut_by_stop,
            "configurations in force": self._outdated_configurations,
        }
        if timed:
            checks |= timed_checks
        return {rule: found for rule, check in checks.items() if (found := check())}

    def _over_memory(self) -> list[str]:
        if self.most_memory_bytes <= MAX_MEMORY_BYTES:
            return []
        return [f"{self.most_memory_bytes / 1e6:.0f} MB"]

    def _incomplete(self) -> list[str]:
        return [
            f"{response.request_id} {response.path} {response.body[:60]!r}"
            for response in self.responses
            if response.status == 200 and not _is_complete(response)
        ]

    def _of_two_versions(self) -> list[str]:
        """Return the streams with events of two versions, or not in order."""
        found = []
        for stream in self.streams:
            caller = stream.caller
            numbers = [event.number for event in caller.events]
            count = EVENTS_PER_STREAM if caller.complete else len(numbers)
            in_order = numbers == list(range(1, count + 1))
            if len(caller.software_versions) > 1 or not in_order:
                found.append(f"{caller.attempts[0].request_id} {caller.events}")
        return found

    def _not_gone_on(self) -> list[str]:
        """Compare how often streams go on with how often new ones begin."""
        attempts = [
            attempt
            for stream in self.streams
            for attempt in stream.attempts
            if self.fleet.vms[attempt.vm].undisturbed(
                attempt.sent_s - RECOVERY_S, attempt.ended_s
            )
        ]
        begun = [attempt.went_on for attempt in attempts if not attempt.continues]
        continued = [
            attempt.went_on
            for attempt in attempts
            if attempt.continues and attempt.servers >= MIN_SERVERS
        ]
        if len(continued) < MIN_TAKEN_UP or not begun:
            return []
        share, usual = sum(continued) / len(continued), sum(begun) / len(begun)
        if share >= MIN_GOING_ON * usual:
            return []
        return [f"{share:.2f} of those taken up, {usual:.2f} of the new ones"]

    def _run_twice(self) -> list[str]:
        """Return the requests that may run once and ran twice."""
        runs = self.fleet.request_log.runs
        return [
            f"{response.request_id} {response.path}"
            for response in self.responses
            if response.path.startswith(ONCE_PATHS) and runs[response.request_id] > 1
        ]

    def _over_attempts(self) -> list[str]:
        """Return the requests that ran more often than their route allows."""
        found = [
            f"{request_id}: {count}"
            for request_id, count in self.fleet.request_log.runs.items()
            if count > MAX_ATTEMPTS
        ]
        return found if len(found) > REQUESTS_OVER_ATTEMPTS else []

    def _refused_and_run(self) -> list[str]:
        runs = self.fleet.request_log.runs
        return [
            f"{response.request_id} {response.path} {response.status}"
            for response in self.responses
            if response.status in (408, 421, 429, 503) and runs[response.request_id]
        ]

    def _sent_to_draining(self) -> list[str]:
        announced_s = self.fleet.request_log.departure_signalled_s
        return [
            f"{server} from {vm} {at_s - announced_s[server, vm]:.2f} s after"
            for server, vm, at_s in self.fleet.request_log.received_requests
            if at_s - announced_s.get((server, vm), at_s) > DRAIN_S
            and self.fleet.vms[vm].undisturbed(announced_s[server, vm], at_s)
        ]

    def _sent_in_backoff(self) -> list[str]:
        found = []
        for server, vm, shed_s in self.fleet.request_log.shed_requests:
            until_s = shed_s + RETRY_AFTER_S
            sent = [
                at_s
                for name, by, at_s in self.fleet.request_log.received_requests
                if (name, by) == (server, vm)
                and shed_s + BACKOFF_APPLIED_AFTER_S < at_s < until_s
            ]
            undisturbed = self.fleet.vms[vm].undisturbed(shed_s, until_s)
            if undisturbed and len(sent) > SENDS_IN_BACKOFF:
                found.append(f"{server} from {vm}: {len(sent)}")
        return found

    def _over_limit(self) -> list[str]:
        found = []
        for limit in self.fleet.request_log.limits:
            allowed = LIMIT_SHARE * limit.per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
            counted_s = [
                at_s for vm, at_s in limit.arrivals if self._counts(limit, vm, at_s)
            ]
            most = max(
                (
                    sum(from_s <= at_s <= from_s + LIMIT_WINDOW_S for at_s in counted_s)
                    for from_s in counted_s
                ),
                default=0,
            )
            if most > allowed:
                found.append(f"{limit.server}: {most} in a window of {allowed:.0f}")
        return found

    def _counts(self, limit: StatedLimit, vm: str, at_s: float) -> bool:
        """Return whether a limit binds a request that a VM sent."""
        told_s = limit.told_s.get(vm, at_s)
        bound_s = max(told_s + LIMIT_APPLIED_AFTER_S, limit.from_s + SETTLE_S)
        return at_s > bound_s and self.fleet.vms[vm].undisturbed(told_s, at_s)

    def _over_retry_budget(self) -> list[str]:
        """Return the windows in which all VMs together sent too many retries."""
        log = self.fleet.request_log
        seen: set[str] = set()
        retries_s = []
        for request_id, at_s in log.arrivals_s:
            if request_id in seen:
                retries_s.append(at_s)
            seen.add(request_id)
        requests_s = sorted(response.sent_s for response in self.responses)

        def count(times_s: list[float], from_s: float) -> int:
            until_s = from_s + RETRY_WINDOW_S
            return bisect_left(times_s, until_s) - bisect_left(times_s, from_s)

        found = []
        for from_s in retries_s:
            starts_s = (from_s, from_s - RETRY_WINDOW_S / 2, from_s - RETRY_WINDOW_S)
            requests = max(count(requests_s, start_s) for start_s in starts_s)
            allowed = RETRY_RATIO * requests + MAX_RETRY_SLACK
            sent = count(retries_s, from_s)
            if sent > allowed:
                found.append(f"{sent} retries in a window of {allowed:.0f}")
        return found

    def _beyond_deadline(self) -> list[str]:
        """Return the requests for which a server got more time than was left."""
        return [
            f"{request_id} by {excess_s:.2f} s"
            for request_id, at_s, excess_s in self.fleet.request_log.excess_times_s()
            if excess_s > DEADLINE_TOLERANCE_S and self._knew_arrival(request_id, at_s)
        ]

    def _knew_arrival(self, request_id: str, at_s: float) -> bool:
        """Return whether a VM could know when the first byte of a request arrived.

        After a pause of its VM, the kernel tells it of the last piece only.
        """
        if request_id not in self.sent_in_pieces:
            return True
        log = self.fleet.request_log
        sent_s = log.caller_deadlines_s[request_id] - REQUEST_DEADLINE_S
        vm = self.fleet.vms[log.vm_by_request[request_id]]
        return vm.undisturbed(sent_s - RECOVERY_S, at_s)

    def _sent_once_known(self) -> list[str]:
        found = []
        for cause, crash_times_s in self.fleet.request_log.crash_times_s.items():
            known_after = CRASHES_OF_PART if cause == CRASHING_PART else CRASHES
            if len(crash_times_s) < known_after:
                continue
            cutoff_s = crash_times_s[known_after - 1] + RECOVERY_S
            sent = sum(
                at_s > cutoff_s
                and self.fleet.vms[vm].undisturbed(at_s - RECOVERY_S, at_s)
                for sent_cause, vm, at_s in self.fleet.request_log.crashing_requests
                if sent_cause == cause
            )
            if sent > SENDS_ONCE_KNOWN:
                found.append(
                    f"{cause}: sent {sent} times after crash {known_after}"
                    f" of {len(crash_times_s)}"
                )
        return found

    def _sound_unserved(self) -> list[str]:
        """Compare requests that share parts with the cause to all others."""
        crash_times_s = self.fleet.request_log.crash_times_s.get(CRASHING_PART, [])
        if not crash_times_s:
            return []
        from_s = crash_times_s[:CRASHES_OF_PART][-1] + 2 * RECOVERY_S
        served: dict[bool, list[bool]] = {True: [], False: []}
        for response in self.responses:
            vm = self.fleet.vms[response.vm]
            if response.sent_s > from_s and vm.undisturbed(
                response.sent_s - RECOVERY_S, response.ended_s
            ):
                shares = response.request_id in self.with_prompts
                served[shares].append(response.status == 200)
        if min(map(len, served.values())) < MIN_SOUND_REQUESTS:
            return []
        shares = {key: sum(found) / len(found) for key, found in served.items()}
        if shares[True] >= MIN_SOUND_SHARE * shares[False]:
            return []
        return [f"{shares[True]:.2f} served, {shares[False]:.2f} of all others"]

    def _wrongly_quarantined(self) -> list[str]:
        return [
            f"{response.request_id} {response.path}"
            for response in self.responses
            if b"crashes_servers" in response.body
            and not response.path.startswith(CRASHING_PATH)
            and f"/{CRASHING_PART}/" not in response.path
        ]

    def _late(self) -> list[str]:
        return [
            f"{response.request_id} {response.path}"
            f" {response.ended_s - response.sent_s:.2f} s"
            for response in self.responses
            if response.ended_s - response.sent_s > REQUEST_DEADLINE_S + 0.5
            # A request that is late itself is answered as soon as it is read.
            and response.ended_s - response.whole_s > 0.5
            and self.fleet.vms[response.vm].undisturbed(
                response.sent_s - RECOVERY_S, response.ended_s
            )
        ]

    def _outdated_configurations(self) -> list[str]:
        return [
            f"{response.request_id} {response.path} {response.status} by {response.vm}"
            for response in self.responses
            if (route := self.fleet.added_routes.get(response.path.split("/")[1]))
            is not None
            and self._used_older_configuration(response, route)
            and self._could_have_applied(response)
        ]

    def _used_older_configuration(
        self, response: CallerResponse, route: AddedRoute
    ) -> bool:
        cutoff_s = response.sent_s - APPLY_S
        if route.dropped_s < cutoff_s:
            return self.fleet.request_log.runs[response.request_id] > 0
        unknown = response.status == 404 or b"configuration_outdated" in response.body
        return (
            unknown
            and route.added_s < cutoff_s
            and response.ended_s < route.drop_sent_s
        )

    def _could_have_applied(self, response: CallerResponse) -> bool:
        """Return whether the VM could have fetched the newest configuration.

        This holds if the VM ran without disturbance or stop from `RECOVERY_S`
        before the request until the response, and if at least one VM that did
        so could reach the store throughout.
        """
        from_s = response.sent_s - RECOVERY_S

        def any_overlaps(intervals_s: list[tuple[float, float]]) -> bool:
            return any(
                start_s < response.ended_s and from_s < end_s
                for start_s, end_s in intervals_s
            )

        undisturbed_vms = [
            vm
            for vm in self.fleet.vms.values()
            if vm.undisturbed(from_s, response.ended_s)
            and not any_overlaps(vm.stop_intervals_s)
        ]
        stall_intervals_s = self.fleet.stall_intervals_s
        store_reachable = any(
            not any_overlaps(vm.store_fault_intervals_s + stall_intervals_s)
            for vm in undisturbed_vms
        )
        return store_reachable and self.fleet.vms[response.vm] in undisturbed_vms

    def _cut_by_stop(self) -> list[str]:
        """Return the requests cut by a planned stop after reaching a server."""
        arrivals = self.fleet.request_log.arrivals
        found = []
        for response in self.responses:
            vm = self.fleet.vms[response.vm]
            stopping = any(
                response.sent_s < at_s < response.ended_s for at_s in vm.stop_sent_s
            )
            undisturbed = vm.undisturbed(
                response.sent_s - RECOVERY_S, response.ended_s + 0.1
            )
            reached_server = (
                response.path.startswith(ONCE_PATHS)
                and arrivals[response.request_id]
                and response.request_id not in self.fleet.request_log.broken_off
            )
            if response.status == 0 and stopping and undisturbed and reached_server:
                found.append(f"{response.request_id} {response.path}")
        return found


def _is_complete(response: CallerResponse) -> bool:
    """Return whether a body is the whole one, by one software version."""
    if not response.path.startswith(STREAM_PATHS):
        expected = f"{response.path} {response.request_id}"
        return response.body == expected.encode()
    return response.body in whole_streams(response.request_id)
