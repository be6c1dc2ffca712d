"""Identify the content of requests and the parts that their prompts share."""

from hashlib import blake2b

from rosepath.caller_request import CallerRequest, Prompt

KEY_BYTES = 12
PART_PREFIX = "part:"


def content_key(call: CallerRequest) -> str:
    """Return a key that a request shares with its retries, on every entry VM.

    The hash is cryptographic, so that no caller can craft a request that gets
    the key of another caller's request.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (call.method, call.host, call.path):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def part_keys(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the keys of the parts that a prompt may share, in order.

    The last part belongs to the request itself. The key has a fixed length
    whatever id a caller chooses.
    """
    parts = prompt.parts[:-1] if prompt is not None else ()
    return tuple(
        PART_PREFIX + blake2b(part.part_id.encode(), digest_size=KEY_BYTES).hexdigest()
        for part in parts
    )


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a part of prompts."""
    return key.startswith(PART_PREFIX)
