"""Settings of an entry VM, read from TOML."""

from typing import Annotated, Literal

from pydantic import Field

from rosepath.held_bytes import DEFAULT_MEMORY_MB
from rosepath.scheduling_mode import SchedulingMode
from rosepath.settings import Address, Seconds, Section


class EntryCallers(Section):
    """Addresses for callers, readiness checks and metrics."""

    listen: Address
    ready_listen: Address
    metrics_listen: Address | None = None


class StoreSettings(Section):
    """Address and timeouts of the platform's object store."""

    address: Address
    call_timeout_s: Seconds = 0.5
    # Timeout for the first byte of the response to a read. A store that takes
    # longer cannot deliver a configuration in time; other entry VMs may.
    read_patience_s: Seconds = 4.0


class RetrySettings(Section):
    """Retry budget of a service across all entry VMs."""

    ratio: Annotated[float, Field(ge=0)] = 0.2
    slack: Annotated[float, Field(ge=0)] = 50.0
    window_s: Seconds = 10.0


class QuotaSettings(Section):
    """By how much use may exceed the quotas of workspaces, over all entry VMs.

    In any `window_s`, a workspace may use `1 + overage` times what its rate and
    burst allow, and `slack` beyond that, in the unit of its quota.
    """

    window_s: Seconds = 8.0
    overage: Annotated[float, Field(ge=0)] = 0.0
    slack: Annotated[float, Field(ge=0)] = 0.0


class SchedulingSettings(Section):
    """When one entry VM assigns the requests of all of them to servers.

    With `auto`, in large fleets that have streams of the highest rank which can't
    be resumed at another server.
    """

    mode: SchedulingMode = SchedulingMode.AUTO


class StopBounds(Section):
    """Time limit of a planned stop."""

    grace_s: Seconds = 8.0


class PeerAddress(Section):
    """Address on which other entry VMs reach this one, by UDP and HTTP.

    `link_mbps` is the bandwidth of this VM's network link. Duties for the
    whole fleet go to VMs with fast links first.
    """

    listen: Address
    link_mbps: Annotated[float, Field(gt=0)] = 1000.0


class LeaseSettings(Section):
    """Timing of the placement lease and of its handover."""

    # The shortest duration that leaves time for three renewals: when a holder
    # fails, no model is loaded until its lease expires. While the store is
    # unavailable, acknowledgements by peers extend the lease.
    duration_s: Seconds = 2.0
    margin_s: Seconds = 0.3
    renew_s: Seconds = 0.6
    look_s: Seconds = 0.3
    # Longer than the 0.6 s after which an order without a response is
    # abandoned and its connection reset.
    handover_s: Seconds = 0.75
    turn_s: Seconds = 3.15


class EntrySettings(Section):
    """All settings of an entry VM, read at its start."""

    entry_vm: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    data_centre: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    callers: EntryCallers
    peers: PeerAddress
    store: StoreSettings
    lease: LeaseSettings = LeaseSettings()
    retries: RetrySettings = RetrySettings()
    quotas: QuotaSettings = QuotaSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    stop: StopBounds = StopBounds()
    # Time limit for ending the requests to a departing server, counted from
    # the moment the store records the departure.
    drain_ms: Annotated[float, Field(gt=0)] = 2000.0
    # Time limit for an accepted configuration to be in force.
    apply_ms: Annotated[float, Field(gt=0)] = 2000.0
    # After an outage, the two limits above apply again once this time has
    # passed.
    settle_ms: Annotated[float, Field(ge=0)] = 3000.0
    # Of the machine, for this process.
    memory_mb: Annotated[float, Field(gt=0)] = DEFAULT_MEMORY_MB
    # Descriptors that the process may use; by default, the kernel's limit.
    max_descriptors: Annotated[int, Field(gt=0)] | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def drain_s(self) -> float:
        return self.drain_ms / 1000

    @property
    def settle_s(self) -> float:
        return self.settle_ms / 1000

    @property
    def apply_s(self) -> float:
        return self.apply_ms / 1000
