"""Whole-configuration checks: names resolve, shares sum, everything fits."""

import heapq
from collections.abc import Iterable

from expression import Error, Ok, Result

from rosepath.configuration import Configuration

SHARE_TOLERANCE = 1e-6


def validate(configuration: Configuration) -> Result[Configuration, tuple[str, ...]]:
    """Return the configuration, or everything that is wrong with it."""
    problems = [
        *_unresolved_bases(configuration),
        *_bad_routes(configuration),
        *_bad_backend_servers(configuration),
        *_shared_keys(configuration),
        *unplaceable(configuration),
    ]
    return Error(tuple(problems)) if problems else Ok(configuration)


def _unresolved_bases(configuration: Configuration) -> Iterable[str]:
    models = configuration.models
    for name, version in configuration.versions.items():
        if version.model not in models:
            yield f"version {name}: model {version.model!r} is not declared"
    for name, adapter in configuration.adapters.items():
        if adapter.model not in models:
            yield f"adapter {name}: model {adapter.model!r} is not declared"
    for kind in ("model", "version", "adapter"):
        for name in configuration.table(kind):
            if set(name) & set(":@/ ") or not name:
                yield f"{kind} {name!r}: a name has none of ':', '@', '/', space"


def _bad_routes(configuration: Configuration) -> Iterable[str]:
    for name, route in configuration.routes.items():
        total = sum(variant.share for variant in route.variants)
        if abs(total - 1) > SHARE_TOLERANCE:
            yield f"route {name}: shares sum to {total:g}, not 1"
        for variant in route.variants:
            if not configuration.is_target(variant.target):
                yield f"route {name}: target {variant.target!r} is not declared"


def _bad_backend_servers(configuration: Configuration) -> Iterable[str]:
    for name, row in configuration.backend_servers.items():
        if row.service and row.service not in configuration.services:
            yield f"backend_server {name}: service {row.service!r} is not declared"
        if row.is_engine and not row.memory_bytes:
            yield f"backend_server {name}: an engine needs memory_bytes"
    for name in configuration.table("drain"):
        if name not in configuration.backend_servers:
            yield f"drain {name}: no such backend_server"
    for name, model in configuration.models.items():
        for pin in model.pinned_to:
            if pin not in configuration.backend_servers:
                yield f"model {name}: pinned to unknown backend_server {pin!r}"


def _shared_keys(configuration: Configuration) -> Iterable[str]:
    seen: dict[str, str] = {}
    for name, row in configuration.table("caller").items():
        other = seen.setdefault(row.key_sha256, name)
        if other != name:
            yield f"caller {name}: has the same key as {other}"


def floor_sizes(configuration: Configuration) -> dict[str, int]:
    """Return the bytes of one copy of each base with all of its adapters."""
    sizes = dict(configuration.artifacts)
    for adapter in configuration.adapters.values():
        if adapter.model in sizes:
            sizes[adapter.model] += adapter.memory_bytes
    return sizes


def unplaceable(configuration: Configuration) -> Iterable[str]:
    """Tell which bases find no room when one copy of each is packed.

    Largest first, each onto the engine with the most room left; what this
    places is placeable for sure.
    """
    sizes = floor_sizes(configuration)
    if not sizes:
        return
    drained = configuration.table("drain")
    rooms = [
        (-row.memory_bytes, name)
        for name, row in configuration.engines.items()
        if name not in drained
    ]
    heapq.heapify(rooms)
    for base, size in sorted(sizes.items(), key=lambda item: (-item[1], item[0])):
        largest = -rooms[0][0] if rooms else 0
        if size <= largest:
            heapq.heapreplace(rooms, (size - largest, rooms[0][1]))
            continue
        yield (
            f"{base}: needs {size} bytes with its adapters; the most room left "
            f"on one backend_server is {largest} bytes: {size - largest} short"
        )


def describe_change(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return a line for each declaration that a change adds, alters or drops."""
    lines = []
    for kind in sorted({*before.tables, *after.tables}):
        old, new = before.table(kind), after.table(kind)
        lines += [f"+ {kind} {name}" for name in sorted(new.keys() - old.keys())]
        lines += [f"- {kind} {name}" for name in sorted(old.keys() - new.keys())]
        lines += [
            f"~ {kind} {name}"
            for name in sorted(old.keys() & new.keys())
            if old[name] != new[name]
        ]
    return tuple(lines)
