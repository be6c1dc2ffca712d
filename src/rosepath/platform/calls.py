"""Headers of callers' requests and backend servers' answers."""

from dataclasses import dataclass
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from rosepath.caller_request import BadRequestError, CallerRequest, Prompt, PromptPart
from rosepath.retry_after import read_retry_after_s
from rosepath.server_notice import NO_NOTICE, ServerNotice

READY_PATH = "/v1/ready"

_ID = "Request-Id"
_WAIT = "Request-Deadline-Ms"
_MODEL = "Model"
# Tokens of the prompt and the most that may be written, separated by a comma.
_TOKENS = "Token-Usage"
_PARTS = "Prompt-Prefix"
_LAST_EVENT = "Last-Event-Id"
_SERVER = "Target-Instance"
_PRIORITY = "Request-Priority"
_SIGNATURE = "Response-Signature"
_NOT_RUN = "Not-Executed"
_LOAD = "Server-Load"
_LEAVING = "Server-Leaving"

# These concern one connection only.
_HOP = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
# These are for the system alone to set; from a caller they mean nothing.
_OWN = frozenset(
    (
        _WAIT,
        _SERVER,
        _PRIORITY,
        "Expected-Version",
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-Fetch",
        "Kv-From",
    )
)
# Statuses with which a server turns requests away.
_TURNED_AWAY = (429, 503)
_DROPPED = _HOP | _OWN | {"Host", "Content-Length", "Expect"}


class ServerLoad(NamedTuple):
    """Hold how busy a backend server says it is."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFacts:
    """Tell what an answer's headers say besides the status.

    `signed` marks an answer that the backend server itself made by running
    the request; `not_run` one by which it promises that it did not.
    """

    signed: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    notice: ServerNotice


def decode_call(
    *,
    method: str,
    path: str,
    headers: HTTPHeaders,
    body: bytes,
    arrived_s: float,
) -> CallerRequest:
    """Decode a caller's request; raises BadRequestError."""
    request_id = headers.get(_ID, "")
    if not request_id:
        raise BadRequestError("the request has no id")
    return CallerRequest(
        request_id=request_id,
        method=method,
        path=path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        headers={name: value for name, value in headers.items() if name not in _DROPPED}
        | {"Host": headers.get("Host", "")},
        body=body,
        arrived_s=arrived_s,
        wait_s=_seconds(headers.get(_WAIT)),
        prompt=_prompt(headers),
        last_event_id=_whole(headers.get(_LAST_EVENT)),
    )


def encode_headers(
    call: CallerRequest,
    *,
    server: str,
    left_s: float,
    priority: int | None = None,
    last_event_id: int | None = None,
) -> dict[str, str]:
    """Return the headers with which a request goes to a backend server."""
    headers = dict(call.headers)
    headers.pop("Host")
    headers[_WAIT] = str(max(1, int(left_s * 1000)))
    headers[_SERVER] = server
    if priority is not None:
        headers[_PRIORITY] = str(priority)
    if last_event_id is not None:
        headers[_LAST_EVENT] = str(last_event_id)
    return headers


def belongs_to(call: CallerRequest, headers: HTTPHeaders) -> bool:
    """Tell whether an answer is to this request, by the id that it echoes."""
    return headers.get(_ID, call.request_id) == call.request_id


def read_answer(status: int, headers: HTTPHeaders) -> AnswerFacts:
    """Read what the headers of a backend server's answer say."""
    signed = _SIGNATURE in headers
    return AnswerFacts(
        signed=signed,
        not_run=_NOT_RUN in headers or (status == 421 and not signed),
        encoded="Content-Encoding" in headers,
        load=_load(headers.get(_LOAD, "")),
        notice=read_notice(status, headers),
    )


def read_notice(status: int, headers: HTTPHeaders) -> ServerNotice:
    """Read what a server says of itself in an answer of any kind."""
    if status == 421:
        # Another server listens there now; it speaks of itself.
        return NO_NOTICE
    retry_after_s = read_retry_after_s(headers) if status in _TURNED_AWAY else 0.0
    return ServerNotice(
        leaving=headers.get(_LEAVING) == "1", retry_after_s=retry_after_s
    )


def answer_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of an answer that are passed on to the caller."""
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP and name not in (_LOAD, "Content-Length"):
            passed.add(name, value)
    return passed


def refusal_headers(
    request_id: str, *, retry_after_s: float | None = None
) -> HTTPHeaders:
    """Return the headers of an answer of our own."""
    headers = HTTPHeaders({"Content-Type": "application/json"})
    if request_id:
        headers[_ID] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers


def _prompt(headers: HTTPHeaders) -> Prompt | None:
    target = headers.get(_MODEL)
    if target is None:
        return None
    model, _, adapter = target.partition("/")
    read, _, written = headers.get(_TOKENS, "0,0").partition(",")
    try:
        parts = tuple(
            PromptPart(part_id, int(tokens))
            for part_id, _, tokens in (
                part.strip().partition(":")
                for part in headers.get(_PARTS, "").split(",")
                if part.strip()
            )
        )
        return Prompt(
            model=model,
            adapter=adapter,
            input_tokens=int(read or 0),
            output_tokens=int(written or 0),
            parts=parts,
        )
    except ValueError as error:
        raise BadRequestError(f"the prompt's headers are broken: {error}") from error


def _load(given: str) -> ServerLoad | None:
    try:
        running, waiting, slots = map(int, given.split(","))
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots)


def _seconds(given: str | None) -> float | None:
    whole = _whole(given)
    return None if whole is None else whole / 1000


def _whole(given: str | None) -> int | None:
    return int(given) if given is not None and given.strip().isdigit() else None
