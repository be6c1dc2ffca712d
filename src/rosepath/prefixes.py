"""Find the replica that most likely has the beginning of a prompt cached."""

from collections import OrderedDict

import xxhash

BLOCK_CHARS = 256
MAX_BLOCKS = 64
MAX_ENTRIES = 50_000


def prefix_keys(target: str, prompt: str) -> list[int]:
    """Return a key for each block-aligned prefix, shortest first."""
    state = xxhash.xxh3_64(target.encode())
    keys = []
    count = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for number in range(count):
        start = number * BLOCK_CHARS
        state.update(prompt[start : start + BLOCK_CHARS].encode())
        keys.append(state.intdigest())
    return keys


class PrefixIndex:
    """Own a bounded LRU map from prompt prefixes to replicas."""

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._holders: OrderedDict[int, str] = OrderedDict()
        self._max_entries = max_entries

    def __len__(self) -> int:
        return len(self._holders)

    def find(self, keys: list[int]) -> str | None:
        """Return the replica that last served the longest known prefix."""
        for key in reversed(keys):
            holder = self._holders.get(key)
            if holder is not None:
                return holder
        return None

    def record(self, keys: list[int], replica: str) -> None:
        """Record that a replica now has these prefixes cached."""
        for key in keys:
            self._holders[key] = replica
            self._holders.move_to_end(key)
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)
