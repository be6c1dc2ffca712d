"""Which service and software version began a stream, by its first request."""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

# Callers take up a stream while they wait for its end, which they do for less
# time than this.
ORIGIN_TTL_S = 60.0
# Bounds the memory used if callers begin streams faster than any fleet serves.
MAX_ORIGINS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """Name the service and the software version that began a stream."""

    service: str
    software_version: str


def origin_key(request_id: str) -> str:
    """Return a short key of the request that began a stream."""
    return xxhash.xxh3_64_hexdigest(request_id.encode())


@dataclass(slots=True)
class StreamOrigins:
    """Own the origins of recent streams, oldest first."""

    _origins: OrderedDict[str, tuple[float, StreamOrigin]] = field(
        default_factory=OrderedDict
    )

    def note(self, key: str, origin: StreamOrigin, *, now_s: float) -> None:
        """Record where a stream began; the first record of a key stays."""
        self._drop_expired(now_s=now_s)
        self._origins.setdefault(key, (now_s, origin))

    def find(self, key: str, *, now_s: float) -> StreamOrigin | None:
        """Return where a stream began, None if that is unknown."""
        self._drop_expired(now_s=now_s)
        noted = self._origins.get(key)
        return noted[1] if noted is not None else None

    def __len__(self) -> int:
        return len(self._origins)

    def _drop_expired(self, *, now_s: float) -> None:
        while self._origins:
            noted_s, _ = next(iter(self._origins.values()))
            expired = now_s - noted_s > ORIGIN_TTL_S
            if not expired and len(self._origins) < MAX_ORIGINS:
                return
            self._origins.popitem(last=False)
