"""Order the requests that wait for a server, and reject what can't be served."""

from collections.abc import Iterator

from rosepath.assignment import AssignmentRejection, AssignmentRequest

# Retry-After of a request that found no server while it could wait.
RETRY_AFTER_S = 0.5
NO_SERVER_CODE = "no_server"


class AssignmentQueue:
    """Own the requests that wait for a server, by id."""

    def __init__(self) -> None:
        self._waiting: dict[str, AssignmentRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def add(self, request: AssignmentRequest) -> None:
        """Let a request wait."""
        self._waiting[request.request_id] = request

    def remove(self, request_id: str) -> AssignmentRequest | None:
        """Remove a request that was assigned, or whose caller has left."""
        return self._waiting.pop(request_id, None)

    def in_order(self, *, now_s: float) -> Iterator[AssignmentRequest]:
        """Return the waiting requests, the next to be assigned first.

        Those that can still be in time come first, by when they are due.
        """
        return iter(
            sorted(
                self._waiting.values(),
                key=lambda request: (request.due_s < now_s, request.due_s),
            )
        )

    def take_rejected(self, *, now_s: float) -> list[AssignmentRejection]:
        """Remove and return the requests that wait no longer."""
        expired = [
            request
            for request in self._waiting.values()
            if request.wait_until_s <= now_s
        ]
        for request in expired:
            del self._waiting[request.request_id]
        return [
            AssignmentRejection(
                request=request, code=NO_SERVER_CODE, retry_after_s=RETRY_AFTER_S
            )
            for request in expired
        ]

    def note_assigned(self, request: AssignmentRequest, *, cost: float) -> None:
        """Record what an assigned request costs, for the fairness of the order."""
