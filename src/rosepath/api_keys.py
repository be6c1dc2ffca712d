"""Digests of API keys, by which keys are compared, stored and logged."""

import hashlib

# Enough hex digits to tell keys apart in logs, too few to identify a key.
LOGGED_DIGITS = 8


def key_digest(key: str) -> str:
    """Return the digest that stands for a key outside its caller's request."""
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()


def logged_digest(digest: str | None) -> str:
    """Return the part of a digest that log lines may contain."""
    return digest[:LOGGED_DIGITS] if digest else ""


def sole_key_digest(keys: list[str]) -> str | None:
    """Return the digest of a request's only API key; None if it has several."""
    return key_digest(keys[0]) if len(keys) == 1 else None
