"""Generate the deterministic text of simulated engines.

Clients compute the expected response and compare it with the received one.
"""

import zlib

TEXT_WORDS = 5000


def token_text(target: str, prompt: str, offset: int) -> str:
    """Return the token at an offset of the response to a prompt."""
    seed = zlib.crc32(f"{target}|{prompt}".encode())
    return f"w{(seed + offset * 7919) % TEXT_WORDS:04d} "


def response_text(target: str, prompt: str, tokens: int) -> str:
    """Return the whole response to a prompt."""
    return "".join(token_text(target, prompt, offset) for offset in range(tokens))
