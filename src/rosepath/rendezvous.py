"""Rendezvous hashing: every node picks the same few of many, without talking."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Return the weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, best first."""
    return sorted(members, key=lambda member: (-score(key, member), member))


def top(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the best few members."""
    return ranked(key, members)[:count]
