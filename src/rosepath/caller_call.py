"""What one request of a caller asks for, as the product sees it."""

from collections.abc import Mapping
from dataclasses import dataclass

from rosepath.errors import RosepathError, Step


class BadRequestError(RosepathError):
    """The caller's request cannot be understood."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step=Step.PARSE)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """Describe what an engine is asked to read and write."""

    model: str
    adapter: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def target(self) -> str:
        """Return the model, with its adapter if one is asked for."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerCall:
    """Hold one request, whole; `wait_s` is how long the caller will wait."""

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
