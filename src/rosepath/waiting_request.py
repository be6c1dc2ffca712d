"""A request that waits for a server: what it waits for, its kind and its place."""

from dataclasses import dataclass
from typing import NamedTuple

from rosepath.assignment import AssignmentRequest

# A request of the next lower rank counts as due so much later: it gives way to
# those of the same urgency, and never waits behind all of them.
RANK_DELAY_S = 0.2
# Lower ranks are treated alike.
MAX_RANK = 3
# Prompts of these sizes and more are told apart: a server without room for a
# long prompt may have room for a short one.
SIZE_BOUNDS_TOKENS = (1_000, 4_000)


class LineKey(NamedTuple):
    """Identify the servers that requests wait for; no model if they need none."""

    service: str
    model: str


def line_key(request: AssignmentRequest) -> LineKey:
    """Return which servers a request waits for."""
    return LineKey(request.service, request.prompt.model if request.prompt else "")


class Kind(NamedTuple):
    """Identify requests that are served alike: by rank and size of prompt."""

    rank: int
    size: int


def kind_of(request: AssignmentRequest) -> Kind:
    """Return the kind of a request."""
    tokens = request.prompt.input_tokens if request.prompt else 0
    size = sum(tokens >= bound for bound in SIZE_BOUNDS_TOKENS)
    return Kind(min(request.priority, MAX_RANK), size)


class OrderKey(NamedTuple):
    """Order waiting requests; the least is next.

    The kinds and models that are owed service come first, then the requests
    that can be in time, then the workspaces within their share. Kinds of
    workspaces beyond their share are owed service only among each other.
    """

    not_owed: int
    late: bool
    beyond_share: bool
    not_owed_beyond: bool
    urgency_s: float
    number: int


@dataclass(slots=True, kw_only=True)
class WaitingRequest:
    """Hold a waiting request and the times that order it.

    Assigned after `in_time_until_s` it is late; after `useful_until_s` its
    caller leaves before the first event.
    """

    request: AssignmentRequest
    number: int
    kind: Kind
    in_time_until_s: float
    useful_until_s: float
    waits: bool = True
    late: bool = False
    # Whether its kind, and its model, were owed service when it was last next.
    kind_owed: bool = False
    line_owed: bool = False

    @property
    def urgency_s(self) -> float:
        """Return by when it is due, later for lower ranks.

        Among requests that can be in time, ordering by slack would prefer long
        prompts, each of which makes several short ones late.
        """
        limit_s = self.useful_until_s if self.late else self.request.due_s
        return limit_s + self.kind.rank * RANK_DELAY_S
