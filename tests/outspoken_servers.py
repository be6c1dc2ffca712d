"""Servers that announce their departure in responses to several entry VMs."""

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
    """Add departure notices in responses and record when each VM got them."""

    departing: set[str] = field(default_factory=set)
    notified_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    # Delays between a notice to a VM and a later request of that VM to the
    # server, where they exceed the drain time.
    late_by_s: list[float] = field(default_factory=list)

    def announce_departure(self, name: str) -> None:
        """Announce a departure in responses only, not in the server's entry."""
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
