"""Convert the headers of callers' requests and backend servers' responses."""

from tornado.httputil import HTTPHeaders

from rosepath.api_keys import sole_key_digest
from rosepath.caller_request import BadRequestError, CallerRequest, Prompt, parse_parts
from rosepath.header_values import (
    HOP_BY_HOP_HEADERS,
    agreed_value,
    host_name,
    lowest_limit_s,
    lowest_rate,
    parse_count,
    parse_int,
    states_one,
    sum_counts,
)
from rosepath.response_metadata import ResponseMetadata, parse_load
from rosepath.retry_after import REJECTION_STATUSES, read_retry_after_s
from rosepath.server_notice import NO_NOTICE, ServerNotice

READY_PATH = "/v1/ready"

_REQUEST_ID = "Request-Id"
_DEADLINE = "Request-Deadline-Ms"
_MODEL = "Model"
# Input tokens and maximum output tokens, separated by a comma.
_TOKENS = "Token-Usage"
_PARTS = "Prompt-Prefix"
_LAST_EVENT = "Last-Event-Id"
# The id of the request that brought the first event of the stream continued.
_RESUMES = "Resumes"
_SERVER = "Target-Instance"
_PRIORITY = "Request-Priority"
_INSTANCE = "Instance-Id"
_SIGNATURE = "Response-Signature"
_NOT_RUN = "Not-Executed"
_LOAD = "Server-Load"
_LEAVING = "Server-Leaving"
# The requests a second that a server accepts from all VMs together, if limited.
_LIMIT = "Server-Limit"
_API_KEY = "Api-Key"
_WORKSPACE = "Tenant"

# Headers of callers that are not forwarded: the key, which must not reach a
# server, and those that the system sets.
_INTERNAL = frozenset(
    (
        _DEADLINE,
        _SERVER,
        _PRIORITY,
        _API_KEY,
        _WORKSPACE,
        "Expected-Version",
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-Fetch",
        "Kv-From",
    )
)
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | _INTERNAL | {"Host", "Content-Length", "Expect"}


def decode_caller_request(
    *,
    method: str,
    path: str,
    headers: HTTPHeaders,
    body: bytes,
    arrived_s: float,
) -> CallerRequest:
    """Decode a caller's request; raise BadRequestError if it is invalid."""
    request_id = headers.get(_REQUEST_ID, "")
    if not request_id:
        raise BadRequestError("the request has no id")
    try:
        prompt = _parse_prompt(headers)
    except ValueError as error:
        raise BadRequestError(f"the prompt's headers are broken: {error}") from error
    return CallerRequest(
        request_id=request_id,
        method=method,
        path=path,
        host=host_name(headers),
        headers={
            name: value for name, value in headers.items() if name not in _NOT_FORWARDED
        }
        | {"Host": headers.get("Host", "")},
        body=body,
        arrived_s=arrived_s,
        wait_s=caller_wait_s(headers),
        prompt=prompt,
        last_event_id=parse_int(headers.get(_LAST_EVENT)),
        resumed_request_id=headers.get(_RESUMES, ""),
        api_key_digest=sole_key_digest(headers.get_list(_API_KEY)),
        tokens=sum_counts(headers.get(_TOKENS, "")),
    )


def caller_wait_s(headers: HTTPHeaders) -> float | None:
    """Return how long a caller waits, if stated; raises BadRequestError."""
    try:
        return lowest_limit_s(headers.get_list(_DEADLINE))
    except ValueError as error:
        raise BadRequestError(f"{_DEADLINE} can't be read: {error}") from error


def encode_headers(
    call: CallerRequest,
    *,
    server: str,
    priority: int | None = None,
    last_event_id: int | None = None,
    workspace: str | None = None,
) -> dict[str, str]:
    """Return the headers of a request to a backend server."""
    headers = dict(call.headers)
    headers.pop("Host")
    headers[_SERVER] = server
    if priority is not None:
        headers[_PRIORITY] = str(priority)
    if last_event_id is not None:
        headers[_LAST_EVENT] = str(last_event_id)
    if workspace is not None:
        headers[_WORKSPACE] = workspace
    return headers


def deadline_headers(left_s: float) -> dict[str, str]:
    """Return the header that tells a backend server how much time is left."""
    return {_DEADLINE: str(max(1, int(left_s * 1000)))}


def echoed_request_id(headers: HTTPHeaders) -> str | None:
    """Return the id of the request to which a response says that it belongs."""
    # Several ids, joined, are those of no request.
    return agreed_value(headers, _REQUEST_ID) or headers.get(_REQUEST_ID)


def answering_server(headers: HTTPHeaders) -> str | None:
    """Return the name of the server that answered a health check."""
    return agreed_value(headers, _INSTANCE)


def read_response_metadata(status: int, headers: HTTPHeaders) -> ResponseMetadata:
    """Read the headers of a backend server's response."""
    signed = _SIGNATURE in headers
    return ResponseMetadata(
        signed=signed,
        not_run=_NOT_RUN in headers or (status == 421 and not signed),
        encoded="Content-Encoding" in headers,
        load=parse_load(agreed_value(headers, _LOAD) or ""),
        notice=read_notice(status, headers),
    )


def read_notice(status: int, headers: HTTPHeaders) -> ServerNotice:
    """Read whether a server is draining and how long to back off from it."""
    if status == 421:
        # Another server uses this address now and sent the response.
        return NO_NOTICE
    retry_after_s = read_retry_after_s(headers) if status in REJECTION_STATUSES else 0.0
    stated = headers.get_list(_LIMIT)
    return ServerNotice(
        leaving=states_one(headers.get_list(_LEAVING)),
        retry_after_s=retry_after_s,
        limit_per_s=lowest_rate(stated),
        unlimited=not stated and _SIGNATURE in headers,
    )


def forwarded_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a response that are forwarded to the caller."""
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in HOP_BY_HOP_HEADERS and name not in (_LOAD, "Content-Length"):
            forwarded.add(name, value)
    return forwarded


def refusal_headers(
    request_id: str, *, retry_after_s: float | None = None
) -> HTTPHeaders:
    """Return the headers of a response generated by this entry VM."""
    headers = HTTPHeaders({"Content-Type": "application/json"})
    if request_id:
        headers[_REQUEST_ID] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers


def _parse_prompt(headers: HTTPHeaders) -> Prompt | None:
    target = headers.get(_MODEL)
    if target is None:
        return None
    model, _, adapter = target.partition("/")
    input_tokens, _, output_tokens = headers.get(_TOKENS, "0,0").partition(",")
    return Prompt(
        model=model,
        adapter=adapter,
        input_tokens=parse_count(input_tokens or "0"),
        output_tokens=parse_count(output_tokens or "0"),
        parts=parse_parts(headers.get(_PARTS, "")),
    )
