"""Settings of an entry VM on the users' platform, read from TOML."""

from typing import Annotated, Literal

from pydantic import Field

from rosepath.settings import Address, Seconds, Section


class EntryCallers(Section):
    """Listen for callers and for the balancer's questions."""

    listen: Address
    ready_listen: Address
    metrics_listen: Address | None = None


class StoreSettings(Section):
    """Reach the platform's object store."""

    address: Address
    call_timeout_s: Seconds = 0.5
    # Until a read must have begun to be answered. A store that takes longer serves
    # nobody a configuration in time; other entry VMs may.
    read_patience_s: Seconds = 4.0


class RetrySettings(Section):
    """Bound the repeats of a service over all entry VMs together."""

    ratio: Annotated[float, Field(ge=0)] = 0.2
    slack: Annotated[float, Field(ge=0)] = 50.0
    window_s: Seconds = 10.0


class StopBounds(Section):
    """Bound a planned stop."""

    grace_s: Seconds = 8.0


class PeerAddress(Section):
    """Say where other entry VMs reach this one, by datagrams."""

    listen: Address


class LeaseSettings(Section):
    """Bound how long the right to order lasts, and how it changes hands."""

    # As short as three renewals allow: models stand unordered for so long when
    # a holder is lost. In an outage of the store the others' word backs it.
    duration_s: Seconds = 2.0
    margin_s: Seconds = 0.3
    renew_s: Seconds = 0.6
    look_s: Seconds = 0.3
    # An order is given up after 0.6 s without an answer, its connection reset.
    handover_s: Seconds = 0.75
    turn_s: Seconds = 3.15


class EntrySettings(Section):
    """Hold everything that an entry VM learns before it starts."""

    entry_vm: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    data_centre: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    callers: EntryCallers
    peers: PeerAddress
    store: StoreSettings
    lease: LeaseSettings = LeaseSettings()
    retries: RetrySettings = RetrySettings()
    stop: StopBounds = StopBounds()
    # How soon work for a server that leaves must end, from the store's word on.
    drain_ms: Annotated[float, Field(gt=0)] = 2000.0
    # How soon an accepted configuration must be in force.
    apply_ms: Annotated[float, Field(gt=0)] = 2000.0
    # So long after the end of an outage a VM is held to these bounds again.
    settle_ms: Annotated[float, Field(ge=0)] = 3000.0
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
