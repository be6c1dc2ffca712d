"""The OpenAI-compatible API, and isolation of malformed requests."""

import asyncio
import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import openai
import pytest
from conftest import KEY, BackgroundLoop, Deployment

from rosepath_standins.tokens import response_text

MESSAGES = [{"role": "user", "content": "which form?"}]
PROMPT = "user: which form?\n"


@pytest.fixture(scope="module")
def shared(
    tmp_path_factory: pytest.TempPathFactory, background: BackgroundLoop
) -> Iterator[Deployment]:
    folder: Path = tmp_path_factory.mktemp("callers")
    started = Deployment.started(folder, background)
    yield started
    started.stop()


@pytest.fixture
def base_url(shared: Deployment) -> str:
    return f"http://{shared.daemons['entry-1'].callers}/v1"


@pytest.fixture
def client(base_url: str) -> openai.OpenAI:
    return openai.OpenAI(api_key=KEY, base_url=base_url, max_retries=0)


def test_models_are_listed(client: openai.OpenAI) -> None:
    names = {model.id for model in client.models.list()}
    assert names == {"court-rules", "claim-drafts", "court-rules:casablanca"}


def test_a_chat_completion_returns_the_full_text(client: openai.OpenAI) -> None:
    completion = client.chat.completions.create(
        model="court-rules", messages=MESSAGES, max_tokens=9
    )
    assert completion.choices[0].message.content == response_text(
        "court-rules", PROMPT, 9
    )
    assert completion.usage is not None
    assert completion.usage.completion_tokens == 9
    assert completion.choices[0].finish_reason == "length"


def test_a_chat_completion_streams(client: openai.OpenAI) -> None:
    stream = client.chat.completions.create(
        model="court-rules:casablanca",
        messages=MESSAGES,
        max_tokens=9,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(
        choice.delta.content or "" for chunk in chunks for choice in chunk.choices
    )
    assert text == response_text("court-rules:casablanca", PROMPT, 9)
    assert chunks[-1].usage is not None


def test_a_completion_returns_the_same_text_whole_and_streamed(
    client: openai.OpenAI,
) -> None:
    whole = client.completions.create(model="claim-drafts", prompt="p", max_tokens=5)
    parts = client.completions.create(
        model="claim-drafts", prompt="p", max_tokens=5, stream=True
    )
    streamed = "".join(part.choices[0].text for part in parts)
    assert whole.choices[0].text == streamed == response_text("claim-drafts", "p", 5)


def test_the_asynchronous_client_streams(base_url: str) -> None:
    async def run() -> str:
        async with openai.AsyncOpenAI(api_key=KEY, base_url=base_url) as client:
            stream = await client.chat.completions.create(
                model="court-rules", messages=MESSAGES, max_tokens=4, stream=True
            )
            return "".join(
                [
                    chunk.choices[0].delta.content or ""
                    async for chunk in stream
                    if chunk.choices
                ]
            )

    assert asyncio.run(run()) == response_text("court-rules", PROMPT, 4)


def test_errors_raise_the_exception_types_of_the_openai_client(
    client: openai.OpenAI, base_url: str
) -> None:
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="no-such", prompt="p")
    with pytest.raises(openai.AuthenticationError):
        openai.OpenAI(api_key="wrong", base_url=base_url).models.list()
    with pytest.raises(openai.BadRequestError):
        client.completions.create(model="court-rules", prompt="p", max_tokens=-1)


@pytest.mark.parametrize(
    ("path", "body", "extra_headers", "status"),
    [
        ("/v1/chat/completions", b"{", {}, 400),
        ("/v1/chat/completions", b"[]", {}, 400),
        ("/v1/chat/completions", b"\xff\xfe", {}, 400),
        ("/v1/chat/completions", b'{"model": "court-rules"}', {}, 400),
        ("/v1/completions", b'{"model":"a","prompt":"p","n":2}', {}, 400),
        ("/nowhere", b"", {}, 404),
        ("/services/none/x", b"", {}, 404),
        ("/services/greffe-api/x", b"", {"Rosepath-Deadline-Ms": "soon"}, 400),
        ("/services/greffe-api/x", b"", {"Rosepath-Idempotent": "maybe"}, 400),
        ("/services/greffe-api/x", b"", {"Idempotency-Key": "k" * 300}, 400),
        ("/v1/deferred", b'{"body": {"model": "x"}}', {}, 400),
    ],
)
def test_bad_input_gets_a_typed_error_that_states_it_did_not_run(
    shared: Deployment,
    path: str,
    body: bytes,
    extra_headers: dict[str, str],
    status: int,
) -> None:
    head, response_body = shared.background.run(
        shared.request(
            shared.daemons["entry-1"].callers,
            "POST",
            path,
            body=body,
            headers={"Authorization": f"Bearer {KEY}", **extra_headers},
        )
    )
    error = json.loads(response_body)["error"]
    assert (head.status, error["run"]) == (status, "no")
    assert head.headers["Rosepath-Run"] == "no"


def test_oversized_or_malformed_requests_do_not_affect_other_callers(
    shared: Deployment, client: openai.OpenAI
) -> None:
    host, _, port = shared.daemons["entry-1"].callers.rpartition(":")
    senders = []
    for data in (
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        b"\x00\x01\x02 nonsense\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nBroken header\r\n\r\n",
        b"GET / HTTP/1.1\r\nX: " + b"a" * 200_000,
    ):
        sender = socket.create_connection((host, int(port)))
        sender.sendall(data)
        senders.append(sender)
    assert client.models.list().data
    for sender in senders:
        sender.settimeout(20)
        assert last_bytes(sender) in (b"", b"HTTP/1.1 400")
        sender.close()


def last_bytes(sender: socket.socket) -> bytes:
    try:
        return sender.recv(12)
    except ConnectionResetError:
        return b""


def test_a_slow_sender_is_disconnected(
    shared: Deployment, client: openai.OpenAI
) -> None:
    # A header that never ends is closed at the header timeout and does not
    # delay other callers.
    host, _, port = shared.daemons["entry-1"].callers.rpartition(":")
    sender = socket.create_connection((host, int(port)))
    sender.sendall(b"GET /v1/models HTTP/1.1\r\nX-")
    assert client.models.list().data
    sender.settimeout(30)
    assert sender.recv(1) == b""


def test_large_request_and_response_bodies_pass_through_unchanged(
    shared: Deployment,
) -> None:
    body = bytes(range(256)) * 8192
    head, response_body = shared.background.run(
        shared.request(
            shared.daemons["entry-2"].callers,
            "POST",
            "/services/greffe-api/echo",
            body=body,
            headers={"Authorization": f"Bearer {KEY}"},
        )
    )
    assert head.status == 200
    assert response_body == body


def test_health_and_metrics_endpoints_respond(shared: Deployment) -> None:
    async def get(path: str) -> tuple[int, bytes]:
        address = shared.daemons["entry-1"].callers
        head, body = await shared.request(address, "GET", path)
        return head.status, body

    assert shared.background.run(get("/livez"))[0] == 200
    assert shared.background.run(get("/readyz"))[0] == 200
    status, body = shared.background.run(get("/metrics"))
    assert status == 200
    assert b'rosepath_requests{target="court-rules"}' in body
    assert b"rosepath_first_token_count" in body


def test_a_trace_has_a_span_for_each_hop(shared: Deployment) -> None:
    trace_id = "c" * 32
    body = json.dumps({"model": "court-rules", "prompt": "p", "max_tokens": 1})
    shared.background.run(
        shared.request(
            shared.daemons["entry-1"].callers,
            "POST",
            "/v1/completions",
            body=body.encode(),
            headers={
                "Authorization": f"Bearer {KEY}",
                "traceparent": f"00-{trace_id}-{'d' * 16}-01",
            },
        )
    )

    # The caller's span ends after the response is sent, so it may not be
    # written yet when the response arrives.
    def spans() -> dict[str, Any]:
        lines = (shared.folder / "trace-entry-1.jsonl").read_text().splitlines()
        found = (span for span in map(json.loads, lines))
        return {s["name"]: s for s in found if s["trace_id"] == trace_id}

    shared.background.run(shared.until(lambda: "caller.request" in spans()))
    by_name = spans()
    assert by_name["caller.request"]["parent_id"] == "d" * 16
    parent = by_name["caller.request"]["span_id"]
    assert by_name["backend.generate"]["parent_id"] == parent


def test_a_node_without_a_configuration_responds_not_ready_instead_of_401(
    shared: Deployment,
) -> None:
    # A VM that has just started may receive requests before it has a
    # configuration; a 401 would make the caller believe its key was revoked.
    async def run() -> tuple[int, str]:
        daemon = shared.start_daemon(
            "entry-9", "casa-a", platform_address="127.0.0.1:9", seeds=[]
        )
        await shared.until(lambda: shared.responds_ok(daemon.callers, "/livez"))
        head, body = await shared.request(
            daemon.callers,
            "GET",
            "/v1/models",
            headers={"Authorization": f"Bearer {KEY}"},
        )
        return head.status, json.loads(body)["error"]["code"]

    assert shared.background.run(run()) == (503, "not_ready")


def test_no_log_contains_a_key(shared: Deployment) -> None:
    for file in shared.folder.glob("entry-*.log"):
        assert KEY not in file.read_text()
