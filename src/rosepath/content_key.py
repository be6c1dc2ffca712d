"""Identify requests with the same content, whatever their caller and id."""

from hashlib import blake2b

from rosepath.caller_request import CallerRequest

KEY_BYTES = 12


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
