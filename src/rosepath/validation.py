"""Checks across a whole configuration: references, shares, keys and memory."""

import heapq
from collections.abc import Iterable

from expression import Error, Ok, Result

from rosepath.configuration import Configuration

SHARE_TOLERANCE = 1e-6


def validate(configuration: Configuration) -> Result[Configuration, tuple[str, ...]]:
    """Return the configuration, or all problems found in it."""
    problems = [
        *_unresolved_bases(configuration),
        *_bad_routes(configuration),
        *_bad_backend_servers(configuration),
        *_duplicate_keys(configuration),
        *unplaceable_bases(configuration),
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


def _duplicate_keys(configuration: Configuration) -> Iterable[str]:
    seen: dict[str, str] = {}
    for name, row in configuration.table("caller").items():
        other = seen.setdefault(row.key_sha256, name)
        if other != name:
            yield f"caller {name}: has the same key as {other}"


def minimum_memory_bytes(configuration: Configuration) -> dict[str, int]:
    """Return the size of one copy of each base with all of its adapters."""
    sizes = dict(configuration.artifacts)
    for adapter in configuration.adapters.values():
        if adapter.model in sizes:
            sizes[adapter.model] += adapter.memory_bytes
    return sizes


def unplaceable_bases(configuration: Configuration) -> Iterable[str]:
    """Report the bases that do not fit when one copy of each is placed.

    Bases are placed largest first, each on the engine with the most free
    memory. This is a heuristic: a configuration that it accepts fits, but it
    may reject one that another placement would fit.
    """
    sizes = minimum_memory_bytes(configuration)
    if not sizes:
        return
    drained = configuration.table("drain")
    free_memory_heap = [
        (-row.memory_bytes, name)
        for name, row in configuration.engines.items()
        if name not in drained
    ]
    heapq.heapify(free_memory_heap)
    for base, size in sorted(sizes.items(), key=lambda item: (-item[1], item[0])):
        largest = -free_memory_heap[0][0] if free_memory_heap else 0
        if size <= largest:
            heapq.heapreplace(
                free_memory_heap, (size - largest, free_memory_heap[0][1])
            )
            continue
        yield (
            f"{base}: needs {size} bytes with its adapters; the most room left "
            f"on one backend_server is {largest} bytes: {size - largest} short"
        )


def describe_change(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return a line for each declaration added, altered or deleted."""
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
