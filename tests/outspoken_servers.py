"""Servers that say in their answers that they leave, before several entry VMs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fleet_world import FleetSimulation, require_still_wanted
from tornado.httputil import HTTPHeaders
from virtual_time import now_s

from rosepath.http_client import Request, ResponseHead


@dataclass(slots=True)
class DepartureNoticeSimulation(FleetSimulation):
    """Let servers say that they leave, and note who was told when."""

    departing: set[str] = field(default_factory=set)
    notified_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    # How long after a VM was told a request of it reached the server.
    late_by_s: list[float] = field(default_factory=list)

    def announce_departure(self, name: str) -> None:
        """Let a server say in its answers that it leaves; its entry does not."""
        self.departing.add(name)

    def _backend_exchange(self, name: str) -> Callable[..., Any]:
        async def exchange(request: Request, *, on_head: Any, on_data: Any) -> Any:
            await asyncio.sleep(0.001)
            require_still_wanted(request)
            server = request.headers["Target-Instance"]
            self.note_request(name, server)
            headers = HTTPHeaders({"Response-Signature": "s"})
            if server in self.departing:
                headers["Server-Leaving"] = "1"
                notified_at_s = self.notified_at_s.setdefault((name, server), now_s())
                if now_s() - notified_at_s > self.drain_s:
                    self.late_by_s.append(round(now_s() - notified_at_s, 3))
            head = ResponseHead(200, headers)
            on_head(head)
            on_data(b"done")
            return head

        return exchange
