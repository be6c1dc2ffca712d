"""Choose a route's variant by a hash, the same on every entry VM."""

import xxhash

from rosepath.configuration import Configuration
from rosepath.declarations import Route, Variant, matches

_SCALE = float(1 << 64)


def pick_variant(variants: tuple[Variant, ...], key: str) -> str:
    """Pick a target by a stable hash, in proportion to the declared shares."""
    point = xxhash.xxh3_64_intdigest(key.encode()) / _SCALE
    cumulative_share = 0.0
    for variant in variants:
        cumulative_share += variant.share
        if point < cumulative_share:
            return variant.target
    return max(variants, key=lambda variant: variant.share).target


def find_route(
    configuration: Configuration, name: str, caller: str
) -> tuple[str, Route] | None:
    """Return the most specific route of this name for a caller."""
    found = [
        (key, route)
        for key, route in configuration.routes.items()
        if route.name == name and matches(caller, route.callers)
    ]
    if not found:
        return None
    return min(found, key=lambda item: ("*" in item[1].callers, item[0]))


def resolve_target(
    configuration: Configuration, name: str, caller: str, request_key: str
) -> str | None:
    """Return the target that serves a request, or None if there is none."""
    found = find_route(configuration, name, caller)
    if found is not None:
        key, route = found
        return pick_variant(route.variants, f"{key}|{caller}|{request_key}")
    return name if configuration.is_target(name) else None
