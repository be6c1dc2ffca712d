"""Validate OpenAI-compatible requests and build their responses."""

import json
import time
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from rosepath.backend import Generation
from rosepath.settings import first_problem

DEFAULT_MAX_TOKENS = 64
MAX_MAX_TOKENS = 200_000

Tokens = Annotated[int, Field(ge=1, le=MAX_MAX_TOKENS)]


class _Body(BaseModel):
    """Base of request bodies: fields that are not declared are ignored."""

    model_config = ConfigDict(extra="ignore")


class StreamOptions(_Body):
    """Options of a streamed response."""

    include_usage: bool = False


class TextPart(_Body):
    """One text part of a message."""

    type: Literal["text"]
    text: str


class Message(_Body):
    """One message of a chat."""

    role: str
    content: str | list[TextPart] | None = None

    @property
    def text(self) -> str:
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class _GenerationBody(_Body):
    model: Annotated[str, Field(min_length=1, max_length=512)]
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Annotated[int, Field(ge=1, le=1)] = 1
    max_tokens: Tokens | None = None

    @property
    def include_usage(self) -> bool:
        return self.stream_options is not None and self.stream_options.include_usage


class ChatBody(_GenerationBody):
    """The body of `/v1/chat/completions`."""

    messages: Annotated[list[Message], Field(min_length=1)]
    max_completion_tokens: Tokens | None = None

    @property
    def prompt(self) -> str:
        return "".join(f"{m.role}: {m.text}\n" for m in self.messages)

    @property
    def tokens(self) -> int:
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class CompletionBody(_GenerationBody):
    """The body of `/v1/completions`."""

    prompt: str | Annotated[list[str], Field(min_length=1, max_length=1)]

    @property
    def text(self) -> str:
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    @property
    def tokens(self) -> int:
        return self.max_tokens or DEFAULT_MAX_TOKENS


def parse_body(shape: str, body: bytes) -> Result[ChatBody | CompletionBody, str]:
    """Validate a request body; return the first problem if it is invalid."""
    body_type = ChatBody if shape == "chat" else CompletionBody
    try:
        return Ok(body_type.model_validate_json(body))
    except ValidationError as error:
        return Error(first_problem(error))


def make_generation(
    body: ChatBody | CompletionBody, *, request_id: str, target: str, priority: int
) -> Generation:
    """Build the engine's request from a validated body."""
    chat = isinstance(body, ChatBody)
    return Generation(
        request_id=request_id,
        target=target,
        prompt=body.prompt if isinstance(body, ChatBody) else body.text,
        max_tokens=body.tokens,
        shape="chat" if chat else "completion",
        served_as=body.model,
        include_usage=body.include_usage or not body.stream,
        priority=priority,
        created=int(time.time()),
    )


def collect_response(events: bytes, generation: Generation) -> bytes:
    """Join the events of a complete stream into one response body."""
    texts: list[str] = []
    finish_reason = None
    usage = None
    for line in events.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        chunk = json.loads(line[6:])
        usage = chunk.get("usage") or usage
        for choice in chunk["choices"]:
            texts.append(_text_of(choice))
            finish_reason = choice.get("finish_reason") or finish_reason
    return json.dumps(
        _response_body(generation, "".join(texts), finish_reason, usage)
    ).encode()


def _text_of(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""


def _response_body(
    generation: Generation, text: str, finish_reason: str | None, usage: Any
) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": finish_reason,
        "logprobs": None,
    }
    if generation.shape == "chat":
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if generation.shape == "chat" else "text_completion"
    return {
        "id": generation.request_id,
        "object": kind,
        "created": generation.created,
        "model": generation.served_as,
        "choices": [choice],
        "usage": usage,
    }
