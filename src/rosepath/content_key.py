"""What makes two requests the same, whoever sends them and under which id."""

from hashlib import blake2b

from rosepath.caller_call import CallerCall

KEY_BYTES = 12


def content_key(call: CallerCall) -> str:
    """Return a key that a request shares with its repeats, on every entry VM.

    A caller can't choose a body so that another caller's request gets its key.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (call.method, call.host, call.path):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()
