"""Workspaces: the owners of API keys, with their priorities and quotas."""

from dataclasses import dataclass
from enum import StrEnum


class QuotaUnit(StrEnum):
    """What the rate and the burst of a quota count."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Limit a workspace's use over all entry VMs.

    In tokens, a request costs its input tokens and the most output tokens that
    it may produce, or `plain_tokens` if it states neither.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: float = 1.0

    def cost(self, tokens: int | None) -> float:
        """Return what a request costs that states this many tokens, if any."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Hold a workspace; without a `priority`, that of the route applies."""

    name: str
    priority: int | None = None
    quota: Quota | None = None
