"""The configuration in force: host routes, services, models, limits."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from rosepath.workspaces import Quota, Workspace


class RouteKind(StrEnum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


# Of services that state none.
DEFAULT_HEALTH_PATH = "/health"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """The weight of a service in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRoute:
    """Route the requests for a host and a path prefix to services.

    `priority` 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    target_gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    # Whether requests need no API key.
    anonymous: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run can be retried."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def event_timeout_s(self) -> float:
        """Return how long a stream's caller waits for the next event."""
        return max(2.0, 4 * self.target_latency_s, 8 * self.target_gap_s)

    def service_for(self, request_id: str) -> str:
        """Pick a request's service by weight, the same on every entry VM."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        position = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
        for share in self.shares:
            position -= share.weight
            if position < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """Describe a model.

    `load_s`, `warm_load_s` and `disk_load_s` are its load times from the
    store, host memory and disk.
    """

    name: str
    size_mb: float
    load_s: float
    warm_load_s: float
    disk_load_s: float
    adapter_mb: float = 0.0
    adapters: int = 0


def model_mb(models: Mapping[str, ModelSpec], name: str) -> float:
    """Return the size of a model's weights.

    An engine may hold a model that the configuration no longer declares. Its
    size is unknown, so it counts as the largest one.
    """
    if name in models:
        return models[name].size_mb
    return max((model.size_mb for model in models.values()), default=0.0)


def adapter_mb(models: Mapping[str, ModelSpec], name: str) -> float:
    """Return the size of an adapter of a model, declared or not."""
    if name in models:
        return models[name].adapter_mb
    return max((model.adapter_mb for model in models.values()), default=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """Describe the engines of a service: capacity and models."""

    slots: int
    kv_capacity_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """Describe a service; `engine` is None if it runs no models."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its idle time."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Objectives:
    """Latency objectives of a service that satisfy every route to it.

    `first_s` is the time to the first byte of the response, `gap_s` the
    longest gap between events of a stream; 0 if no route sets it.
    """

    first_s: float = 0.0
    gap_s: float = 0.0

    @classmethod
    def from_routes(cls, routes: Sequence[HostRoute]) -> "Objectives":
        """Return the strictest value of each objective."""
        gaps = (route.target_gap_s for route in routes if route.target_gap_s)
        return cls(
            first_s=min((route.target_latency_s for route in routes), default=0.0),
            gap_s=min(gaps, default=0.0),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """Hold one version of the configuration that operators declare."""

    version: int
    routes: Sequence[HostRoute]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    # By the digest of each API key; None if the configuration declares no
    # workspaces, in which case requests need no key.
    workspaces: Mapping[str, Workspace] | None = None
    by_host: Mapping[str, Sequence[HostRoute]] = field(init=False)
    # Computed once per version: the planner reads it ten times a second, and
    # there may be thousands of routes.
    objectives: Mapping[str, Objectives] = field(init=False)
    # By workspace.
    quotas: Mapping[str, Quota] = field(init=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[HostRoute]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        object.__setattr__(self, "by_host", dict(by_host))
        by_service: dict[str, list[HostRoute]] = defaultdict(list)
        for route in self.routes:
            for share in route.shares:
                by_service[share.service].append(route)
        objectives = {
            service: Objectives.from_routes(routes)
            for service, routes in by_service.items()
        }
        object.__setattr__(self, "objectives", objectives)
        quotas = {
            workspace.name: workspace.quota
            for workspace in (self.workspaces or {}).values()
            if workspace.quota is not None
        }
        object.__setattr__(self, "quotas", quotas)

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest matching path prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def requires_key(self, route: HostRoute) -> bool:
        """Return whether requests of a route need a workspace's API key."""
        return self.workspaces is not None and not route.anonymous

    def workspace(self, key_digest: str | None) -> Workspace | None:
        """Return the workspace that holds an API key."""
        if self.workspaces is None or key_digest is None:
            return None
        return self.workspaces.get(key_digest)
