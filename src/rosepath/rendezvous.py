"""Rendezvous hashing: all VMs choose alike without coordination."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Return the score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, highest score first."""
    return sorted(members, key=lambda member: (-score(key, member), member))


def top(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members with the highest scores."""
    return ranked(key, members)[:count]
