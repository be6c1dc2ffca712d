"""Admit requests against the quotas with the shares that VMs lent.

Every entry VM has an equal share of each quota and lends it to one coordinator
at a time. Coordinators admit with what they were lent, so the fleet keeps to
the quotas however many coordinators there are: two sides of a partition each
have the shares of their own VMs.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from rosepath.token_bucket import TokenBucket
from rosepath.workspaces import Quota

# A share counts for this long after its VM's last message. A VM that moves to
# another coordinator counts twice for as long, which the tolerance allows.
SHARE_LIFETIME_S = 1.6
# The part of the tolerance that is used for larger bursts; the rest covers
# shares that count twice while coordinators change.
BURST_TOLERANCE_SHARE = 0.3
# The longest wait that a refused caller is told. Later waits would be guesses,
# as the demand of the workspace changes meanwhile.
MAX_RETRY_AFTER_S = 8.0
EXCEEDED_CODE = "quota_exceeded"


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """Hold by how much use may exceed the quotas.

    In any `window_s`, a workspace may use `1 + overage` times what its rate and
    burst allow, and `slack` beyond that.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def extra_burst(self, quota: Quota) -> float:
        """Return the part of the tolerance that is added to a quota's burst."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return BURST_TOLERANCE_SHARE * (self.overage * allowed + self.slack)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaDecision:
    """Hold whether a request was admitted, and by which state."""

    granted: bool
    retry_after_s: float = 0.0
    left: float = 0.0
    share: float = 0.0
    coordinator: str = ""
    quota_request_id: str = ""


class _Grant(NamedTuple):
    workspace: str
    cost: float
    at_s: float


@dataclass(slots=True, kw_only=True)
class _Account:
    """Hold what a workspace may use and what it used in the last window."""

    quota: Quota
    bucket: TokenBucket
    used: float = 0.0
    # When the last caller that was refused has been told to return.
    returns_until_s: float = 0.0
    asked_s: float = -math.inf
    grants: deque[str] = field(default_factory=deque)


class QuotaPool:
    """Own the lent shares, the accounts of workspaces and recent grants.

    An account starts empty: what other coordinators granted within the last
    window is not known. Unless the pool `spreads_returns`, all that are refused
    are told when the next request can be admitted.
    """

    def __init__(
        self, tolerance: QuotaTolerance, *, spreads_returns: bool = True
    ) -> None:
        self._tolerance = tolerance
        self._spreads_returns = spreads_returns
        # By VM, until when its share counts and the fleet size that it knows;
        # the first to expire first.
        self._shares: OrderedDict[str, tuple[float, int]] = OrderedDict()
        # The part of each quota that has been lent.
        self.share = 0.0
        self._accounts: dict[str, _Account] = {}
        self._grants: OrderedDict[str, _Grant] = OrderedDict()

    def apply(self, quotas: Mapping[str, Quota], *, now_s: float) -> None:
        """Apply declared quotas, by workspace."""
        for name in self._accounts.keys() - quotas.keys():
            del self._accounts[name]
        for name, quota in quotas.items():
            self.declare(name, quota, now_s=now_s)

    def declare(self, name: str, quota: Quota, *, now_s: float) -> None:
        """Add the account of a quota, or change its quota."""
        account = self._accounts.get(name)
        if account is None:
            bucket = TokenBucket(rate_per_s=0.0, burst=0.0, level=0.0, at_s=now_s)
            account = self._accounts[name] = _Account(
                quota=quota, bucket=bucket, asked_s=now_s
            )
        account.quota = quota
        self._resize_account(account, now_s)

    def drop_unused(self, *, before_s: float) -> None:
        """Drop the accounts that were last asked for a grant before a time."""
        for name, account in list(self._accounts.items()):
            if account.asked_s < before_s and not account.grants:
                del self._accounts[name]

    def lend(self, entry_vm: str, *, fleet_size: int, now_s: float) -> None:
        """Add a VM's share, or extend its lifetime."""
        known = self._shares.get(entry_vm)
        self._shares[entry_vm] = (now_s + SHARE_LIFETIME_S, fleet_size)
        self._shares.move_to_end(entry_vm)
        if known is None or known[1] != fleet_size:
            self._resize(now_s)

    def withdraw(self, entry_vm: str, *, now_s: float) -> None:
        """Remove a VM's share."""
        if self._shares.pop(entry_vm, None) is not None:
            self._resize(now_s)

    @property
    def lenders(self) -> int:
        return len(self._shares)

    def admit(
        self, quota_request_id: str, workspace: str, cost: float, *, now_s: float
    ) -> QuotaDecision:
        """Admit a request or say when to return; repeatable for one id."""
        self._expire(now_s)
        account = self._accounts.get(workspace)
        if account is None or quota_request_id in self._grants:
            return QuotaDecision(granted=True, share=self.share)
        bucket, account.asked_s = account.bucket, now_s
        wait_s = bucket.take(now_s, cost)
        if not wait_s and self._exceeds_window(account, cost):
            bucket.give_back(cost)
            wait_s = self._window_wait_s(account, cost, now_s)
        left = bucket.level or 0.0
        if wait_s:
            return QuotaDecision(
                granted=False,
                retry_after_s=self._retry_after_s(account, wait_s, cost, now_s),
                left=left,
                share=self.share,
            )
        account.used += cost
        account.grants.append(quota_request_id)
        self._grants[quota_request_id] = _Grant(workspace, cost, now_s)
        return QuotaDecision(granted=True, left=left, share=self.share)

    def give_back(self, quota_request_id: str) -> None:
        """Return what was granted to a request that did not run.

        Only grants of the last window are known, so that a window with the
        later use of what is returned does not exceed the quota.
        """
        grant = self._grants.get(quota_request_id)
        account = self._accounts.get(grant.workspace) if grant else None
        if grant is not None and account is not None and grant.cost:
            self._grants[quota_request_id] = grant._replace(cost=0.0)
            account.used -= grant.cost
            account.bucket.give_back(grant.cost)

    def usage(self, *, now_s: float) -> dict[str, tuple[float, float]]:
        """Return what active workspaces used in the last window, and may use."""
        self._expire(now_s)
        return {
            name: (round(account.used), round(self._allowed(account.quota)))
            for name, account in self._accounts.items()
            if account.grants
        }

    def _exceeds_window(self, account: _Account, cost: float) -> bool:
        """Return whether a window would exceed the quota, after returns."""
        allowed = self._allowed(account.quota)
        # A single request may exceed the burst, see TokenBucket.
        return account.used + min(cost, account.bucket.burst) > allowed

    def _allowed(self, quota: Quota) -> float:
        """Return what a workspace may use in a window, by the shares lent."""
        allowed = quota.rate_per_s * self._tolerance.window_s + self._burst(quota)
        return allowed * self.share

    def _window_wait_s(self, account: _Account, cost: float, now_s: float) -> float:
        """Return when the first grants of the window will have left it."""
        oldest = next(
            (
                grant
                for request_id in account.grants
                if (grant := self._grants[request_id]).cost
            ),
            None,
        )
        if oldest is None:
            return cost / max(1e-9, account.bucket.rate_per_s)
        return max(0.01, oldest.at_s + self._tolerance.window_s - now_s)

    def _retry_after_s(
        self, account: _Account, wait_s: float, cost: float, now_s: float
    ) -> float:
        """Return when to retry, one caller after the other.

        If all callers that were refused returned when the first of them can be
        admitted, most would be refused again.
        """
        if not self._spreads_returns:
            return min(wait_s, MAX_RETRY_AFTER_S)
        at_s = max(now_s + wait_s, account.returns_until_s)
        if at_s - now_s >= MAX_RETRY_AFTER_S or not account.bucket.rate_per_s:
            return MAX_RETRY_AFTER_S
        account.returns_until_s = at_s + cost / account.bucket.rate_per_s
        return at_s - now_s

    def _burst(self, quota: Quota) -> float:
        return quota.burst + self._tolerance.extra_burst(quota)

    def _resize(self, now_s: float) -> None:
        fleet_size = max((size for _, size in self._shares.values()), default=1)
        self.share = min(1.0, len(self._shares) / max(1, fleet_size))
        for account in self._accounts.values():
            self._resize_account(account, now_s)

    def _resize_account(self, account: _Account, now_s: float) -> None:
        account.bucket.resize(
            now_s,
            rate_per_s=account.quota.rate_per_s * self.share,
            burst=self._burst(account.quota) * self.share,
        )

    def _expire(self, now_s: float) -> None:
        """Drop the shares and the grants whose time is over."""
        count = len(self._shares)
        while self._shares and next(iter(self._shares.values()))[0] <= now_s:
            self._shares.popitem(last=False)
        if len(self._shares) != count:
            self._resize(now_s)
        old_s = now_s - self._tolerance.window_s
        while self._grants:
            request_id, grant = next(iter(self._grants.items()))
            if grant.at_s > old_s:
                break
            del self._grants[request_id]
            account = self._accounts.get(grant.workspace)
            if account and account.grants and account.grants[0] == request_id:
                account.grants.popleft()
                account.used = account.used - grant.cost if account.grants else 0.0


NO_LIMIT = QuotaDecision(granted=True, left=math.inf, share=1.0)
