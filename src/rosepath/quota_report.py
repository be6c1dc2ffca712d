"""Report the use of quotas by workspace and entry VM, from logs."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from rosepath.explain import LogLine
from rosepath.quota_pool import EXCEEDED_CODE


@dataclass(slots=True, kw_only=True)
class Use:
    """Count what a workspace asked of one entry VM, in the quota's unit."""

    served: float = 0.0
    requests: int = 0
    refused: float = 0.0
    refusals: int = 0


@dataclass(slots=True, kw_only=True)
class QuotaReport:
    """Hold the use by workspace and VM, and what coordinators logged last."""

    use: dict[str, dict[str, Use]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(Use))
    )
    rate_per_s: dict[str, float] = field(default_factory=dict)
    # By workspace, the largest part of its quota that a window used.
    peak: dict[str, float] = field(default_factory=dict)
    # By coordinator, the part of the quotas that it was lent at last.
    shares: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine]) -> "QuotaReport":
        """Count the log lines of several VMs, sorted by time."""
        report = cls()
        for line in lines:
            details, workspace = line.details, line.details.get("workspace")
            if line.event == "quota_usage":
                report._note_usage(line)
            elif not workspace:
                continue
            elif line.event == "request_ended" and "quota_cost" in details:
                if details.get("code") != EXCEEDED_CODE:
                    use = report.use[workspace][line.entry_vm]
                    use.served += details["quota_cost"]
                    use.requests += 1
            elif line.event == "quota_exceeded":
                use = report.use[workspace][line.entry_vm]
                use.refused += details["cost"]
                use.refusals += 1
                report.rate_per_s[workspace] = details["rate_per_s"]
        return report

    def _note_usage(self, line: LogLine) -> None:
        self.shares[line.entry_vm] = line.details["share"]
        for workspace, (used, allowed) in line.details["workspaces"].items():
            part = used / allowed if allowed else 0.0
            self.peak[workspace] = max(self.peak.get(workspace, 0.0), part)

    @property
    def workspace_rows(self) -> list[list[str]]:
        """Return a row a workspace, the most refused first."""
        totals = {name: _total(by_vm.values()) for name, by_vm in self.use.items()}
        return [
            [
                name,
                f"{self.rate_per_s[name]:.0f}" if name in self.rate_per_s else "",
                f"{self.peak[name]:.2f}" if name in self.peak else "",
                *_cells(totals[name]),
            ]
            for name in sorted(totals, key=lambda name: -totals[name].refused)
        ]

    @property
    def vm_rows(self) -> list[list[str]]:
        """Return a row a workspace and VM."""
        return [
            [name, vm, *_cells(by_vm[vm])]
            for name, by_vm in sorted(self.use.items())
            for vm in sorted(by_vm)
        ]


def _total(uses: Iterable[Use]) -> Use:
    total = Use()
    for use in uses:
        total.served += use.served
        total.requests += use.requests
        total.refused += use.refused
        total.refusals += use.refusals
    return total


def _cells(use: Use) -> list[str]:
    return [
        str(use.requests),
        f"{use.served:.0f}",
        str(use.refusals),
        f"{use.refused:.0f}",
    ]
