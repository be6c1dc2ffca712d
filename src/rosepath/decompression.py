"""Decompress what other entry VMs send, up to a limit."""

import zlib


def decompress(data: bytes, *, max_bytes: int) -> bytes:
    """Decompress data; raise ValueError if malformed, truncated or too large."""
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("truncated, or larger than the limit")
    return unpacked
