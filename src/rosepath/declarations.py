"""The declarations that make up a configuration, validated on input."""

import fnmatch
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from types import MappingProxyType
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from rosepath.settings import first_problem

Bytes = Annotated[int, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
_STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model; `memory_bytes` is the memory that one loaded copy takes."""

    __pydantic_config__ = _STRICT
    memory_bytes: Bytes
    pinned_to: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """Another version of a model, requested as `model@version`."""

    __pydantic_config__ = _STRICT
    model: str
    memory_bytes: Bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter of a model, requested as `model:adapter`."""

    __pydantic_config__ = _STRICT
    model: str
    memory_bytes: Bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """An HTTP service other than a model engine; lists retryable methods."""

    __pydantic_config__ = _STRICT
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A caller: the SHA-256 of its key and the targets that it may use."""

    __pydantic_config__ = _STRICT
    key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    reach: tuple[str, ...] = ("*",)


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """A target and its share of a route's requests."""

    __pydantic_config__ = _STRICT
    target: str
    share: Share


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Splits requests for a name, from matching callers, between variants."""

    __pydantic_config__ = _STRICT
    name: str
    variants: tuple[Variant, ...]
    callers: tuple[str, ...] = ("*",)
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Limits concurrent requests and the request rate of matching callers."""

    __pydantic_config__ = _STRICT
    callers: tuple[str, ...] = ("*",)
    targets: tuple[str, ...] = ("*",)
    concurrency: Annotated[int, Field(ge=1)] | None = None
    rate_per_s: Annotated[float, Field(gt=0)] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A model engine, or a server of the service named by `service`.

    `fences` means that the engine refuses orders with an old fencing token.
    """

    __pydantic_config__ = _STRICT
    data_centre: str
    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+:\d+$")]
    memory_bytes: Annotated[int, Field(ge=0)] = 0
    service: str = ""
    fences: bool = False
    accelerators: Annotated[int, Field(ge=1)] = 1

    @property
    def is_engine(self) -> bool:
        return not self.service


@dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Stops new work on a backend server and moves its models away."""

    __pydantic_config__ = _STRICT
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuietWindow:
    """Hours of the day (UTC) during which optional moves are not made."""

    __pydantic_config__ = _STRICT
    from_hour: Annotated[int, Field(ge=0, le=23)]
    to_hour: Annotated[int, Field(ge=0, le=24)]


Declaration = (
    Model
    | Version
    | Adapter
    | Service
    | Caller
    | Route
    | Limit
    | BackendServer
    | Drain
    | QuietWindow
)

KINDS: Mapping[str, type] = MappingProxyType(
    {
        "model": Model,
        "version": Version,
        "adapter": Adapter,
        "service": Service,
        "caller": Caller,
        "route": Route,
        "limit": Limit,
        "backend_server": BackendServer,
        "drain": Drain,
        "quiet_window": QuietWindow,
    }
)
_ADAPTERS: Mapping[str, TypeAdapter[Any]] = {
    kind: TypeAdapter(row) for kind, row in KINDS.items()
}


def parse_declaration(kind: str, raw: object) -> Result[Declaration, str]:
    """Validate a declaration given as dicts and lists."""
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        return Error(f"{kind}: unknown kind; one of {', '.join(KINDS)}")
    try:
        return Ok(adapter.validate_python(raw))
    except ValidationError as error:
        return Error(f"{kind}: {first_problem(error)}")


def parse_declaration_json(kind: str, text: str) -> Result[Declaration, str]:
    """Validate a declaration given as JSON."""
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        return Error(f"{kind}: unknown kind; one of {', '.join(KINDS)}")
    try:
        return Ok(adapter.validate_json(text))
    except ValidationError as error:
        return Error(f"{kind}: {first_problem(error)}")


def as_plain_data(declaration: Declaration) -> dict[str, Any]:
    """Return a declaration as dicts and lists."""
    return asdict(declaration)


def matches(name: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a name matches any of the shell-style patterns."""
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)
