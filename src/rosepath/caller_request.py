"""The request of a caller, independent of the wire format."""

from collections.abc import Mapping
from dataclasses import dataclass

from rosepath.errors import RosepathError, Step
from rosepath.header_values import parse_count


class BadRequestError(RosepathError):
    """The caller's request is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step=Step.PARSE)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt that other requests may share."""

    part_id: str
    tokens: int


def parse_parts(raw: str) -> tuple[PromptPart, ...]:
    """Parse a list of parts as `id:tokens`; raise ValueError."""
    named = (part.strip().partition(":") for part in raw.split(",") if part.strip())
    return tuple(
        PromptPart(part_id, parse_count(tokens)) for part_id, _, tokens in named
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """Describe the model, the input and the output of a generation request."""

    model: str
    adapter: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def target(self) -> str:
        """Return the model, followed by the adapter if one is requested."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold one complete request.

    `wait_s` is how long the caller is prepared to wait, `tokens` the sum of the
    input tokens and the most output tokens, if stated. `resumed_request_id` names
    the request that brought the first event of the stream which this one takes up.
    The API key is kept as its digest only.
    """

    request_id: str
    method: str
    path: str
    host: str
    headers: Mapping[str, str]
    body: bytes
    arrived_s: float
    wait_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: int | None = None
    resumed_request_id: str = ""
    api_key_digest: str | None = None
    tokens: int | None = None

    def limit_s(self, longest_s: float) -> float:
        """Return how long the caller waits, `longest_s` at most."""
        return longest_s if self.wait_s is None else min(self.wait_s, longest_s)

    @property
    def continues_stream(self) -> bool:
        """Whether the caller has events of the stream already."""
        return bool(self.resumed_request_id) or self.last_event_id is not None
