"""Grant requests as coordinator of the quotas and of the servers' rate limits."""

from rosepath.quota_messages import QuotaClaim
from rosepath.quota_pool import QuotaDecision, QuotaPool, QuotaTolerance
from rosepath.workspaces import Quota

# In any window, a server accepts one and a half times what its limit allows,
# and a few requests more.
SERVER_LIMIT_TOLERANCE = QuotaTolerance(window_s=4.0, overage=0.5, slack=5.0)
# A server that accepts no requests is sent one at this rate all the same: only
# its responses show when the limit ends.
MIN_SERVER_LIMIT_PER_S = 0.25
# A server's limit is forgotten if no request asked for it for this long.
UNUSED_LIMIT_S = 60.0


class QuotaCoordinator:
    """Own what this VM may grant with the shares that VMs lent it.

    A share is lent for all quotas and rate limits at once.
    """

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self.workspaces = QuotaPool(tolerance)
        self.servers = QuotaPool(SERVER_LIMIT_TOLERANCE, spreads_returns=False)

    def lend(self, entry_vm: str, *, fleet_size: int, now_s: float) -> None:
        """Add a VM's share, or extend its lifetime."""
        self.workspaces.lend(entry_vm, fleet_size=fleet_size, now_s=now_s)
        self.servers.lend(entry_vm, fleet_size=fleet_size, now_s=now_s)

    def withdraw(self, entry_vm: str, *, now_s: float) -> None:
        """Remove a VM's share."""
        self.workspaces.withdraw(entry_vm, now_s=now_s)
        self.servers.withdraw(entry_vm, now_s=now_s)

    def admit(
        self, request_id: str, claim: QuotaClaim, *, now_s: float
    ) -> QuotaDecision:
        """Admit a request or say when to return; repeatable for one id."""
        if not claim.server:
            return self.workspaces.admit(
                request_id, claim.workspace, claim.cost, now_s=now_s
            )
        # The limit is not declared anywhere: the VM that asks has read it from
        # a response, maybe before this one has.
        rate_per_s = max(claim.limit_per_s, MIN_SERVER_LIMIT_PER_S)
        self.servers.drop_unused(before_s=now_s - UNUSED_LIMIT_S)
        self.servers.declare(
            claim.server, Quota(rate_per_s=rate_per_s, burst=0.0), now_s=now_s
        )
        return self.servers.admit(request_id, claim.server, claim.cost, now_s=now_s)

    def give_back(self, request_id: str) -> None:
        """Return what was granted to a request that did not run."""
        self.workspaces.give_back(request_id)
        self.servers.give_back(request_id)
