"""Servers that state a rate limit in responses to several entry VMs."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from fleet_world import FleetSimulation, require_still_wanted, vm_address
from tornado.httputil import HTTPHeaders
from virtual_time import now_s

from rosepath.http_client import Request, ResponseHead

# The promise to a limited server: in any window, at most this many times its
# rate and this many requests more, from the VMs that know of the limit.
WINDOW_S = 4.0
ALLOWED_RATE_SHARE = 1.5
ALLOWED_EXTRA = 5
# A VM that has passed a response on knows of its limit this much later.
NOTICE_S = 0.5
SERVICE_S = 0.02


class Excess(NamedTuple):
    """A window in which a server got more than the promise allows."""

    server: str
    at_s: float
    count: int
    allowed: float


@dataclass(slots=True)
class LimitedServersSimulation(FleetSimulation):
    """Add rate limits in responses, and count requests from VMs told of them.

    A limit binds `contact_s` after its server first stated it. Restarted VMs
    are not counted for as long.
    """

    contact_s: float = 3.0
    # Headers by server, as they may be invalid.
    stated: dict[str, str] = field(default_factory=dict)
    limits_per_s: dict[str, float] = field(default_factory=dict)
    stated_at_s: dict[str, float] = field(default_factory=dict)
    told_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    arrivals: dict[str, deque[float]] = field(default_factory=dict)
    total: dict[str, int] = field(default_factory=dict)
    excesses: list[Excess] = field(default_factory=list)

    def limit(self, server: str, per_s: float, *, stated: str = "") -> None:
        """Let a server state a limit from now on."""
        self.withdraw_limit(server)
        self.limits_per_s[server] = per_s
        self.stated[server] = stated or str(per_s)
        self.stated_at_s[server] = now_s()

    def withdraw_limit(self, server: str) -> None:
        """Let a server state no limit from now on."""
        self.limits_per_s.pop(server, None)
        self.stated.pop(server, None)
        self.arrivals.pop(server, None)
        for vm, name in list(self.told_at_s):
            if name == server:
                del self.told_at_s[vm, name]

    def restart(self, name: str, monkeypatch: Any) -> None:
        for vm, server in list(self.told_at_s):
            if vm == name:
                del self.told_at_s[vm, server]
        FleetSimulation.restart(self, name, monkeypatch)

    def _build_node(self, name: str, monkeypatch: Any) -> None:
        FleetSimulation._build_node(self, name, monkeypatch)
        quotas = self.nodes[name].quotas
        quotas._address, quotas._rng = vm_address(name), self.rng

    def _run(self, name: str) -> None:
        FleetSimulation._run(self, name)
        run = self.nodes[name].quotas.run()
        self.tasks.append(asyncio.create_task(run, name=name))

    def _note_arrival(self, vm: str, server: str) -> None:
        self.total[server] = self.total.get(server, 0) + 1
        per_s = self.limits_per_s.get(server)
        if per_s is None:
            return
        told_at_s = self.told_at_s.get((vm, server), now_s())
        bound_at_s = self.stated_at_s[server] + self.contact_s
        if now_s() < max(told_at_s + NOTICE_S, bound_at_s):
            return
        recent = self.arrivals.setdefault(server, deque())
        recent.append(now_s())
        while recent[0] < now_s() - WINDOW_S:
            recent.popleft()
        allowed = ALLOWED_RATE_SHARE * per_s * WINDOW_S + ALLOWED_EXTRA
        if len(recent) > allowed:
            self.excesses.append(Excess(server, now_s(), len(recent), allowed))

    def _backend_exchange(self, name: str) -> Callable[..., Any]:
        async def exchange(request: Request, *, on_head: Any, on_data: Any) -> Any:
            await asyncio.sleep(0.001)
            require_still_wanted(request)
            server = request.headers["Target-Instance"]
            self.note_request(name, server)
            self._note_arrival(name, server)
            stated = self.stated.get(server)
            await asyncio.sleep(SERVICE_S)
            headers = HTTPHeaders({"Response-Signature": "s"})
            if stated is not None:
                headers["Server-Limit"] = stated
                self.told_at_s.setdefault((name, server), now_s())
            head = ResponseHead(200, headers)
            on_head(head)
            on_data(b"done")
            return head

        return exchange
