"""Guarantees to callers under failures, tested with real processes."""

import asyncio
import json
import signal
import uuid
from dataclasses import dataclass, field
from typing import Any

import pytest
from conftest import KEY, Deployment
from pytest_bdd import given, parsers, scenarios, then, when

from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.tokens import response_text

scenarios("features/promises.feature")

PROMPT = "user: which form?\n"


@dataclass
class CallerView:
    """What the caller of a scenario received."""

    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    tokens: int = 0
    run_key: str = ""
    key: str = ""
    first_body: bytes = b""
    engine: str = ""
    drain_start_s: float = 0.0
    texts: list[str] = field(default_factory=list)
    deferred_id: str = ""
    exit_code: int = -1


@pytest.fixture
def caller_view() -> CallerView:
    return CallerView()


def headers(**more: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def chat_body(tokens: int) -> bytes:
    return json.dumps(
        {
            "model": "court-rules",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "which form?"}],
        }
    ).encode()


def events_of(body: bytes) -> list[dict[str, Any]]:
    return [
        json.loads(line[6:])
        for line in body.split(b"\n")
        if line.startswith(b"data: {")
    ]


def text_of(body: bytes) -> str:
    return "".join(
        choice["delta"].get("content", "")
        for event in events_of(body)
        for choice in event.get("choices", ())
    )


async def stream(deployment: Deployment, tokens: int, entry_vm: str = "entry-1") -> Any:
    return await deployment.request(
        deployment.daemons[entry_vm].callers,
        "POST",
        "/v1/chat/completions",
        body=chat_body(tokens),
        headers=headers(),
    )


async def file_claim(
    deployment: Deployment, caller_view: CallerView, entry_vm: str = "entry-1"
) -> None:
    extra_headers = {"X_Run_Key": caller_view.run_key}
    if caller_view.key:
        extra_headers["Idempotency_Key"] = caller_view.key
    head, caller_view.body = await deployment.request(
        deployment.daemons[entry_vm].callers,
        "POST",
        "/services/greffe-api/claims",
        body=b"claim",
        headers=headers(**extra_headers),
    )
    caller_view.status = head.status


async def count_service_runs(deployment: Deployment, run_key: str) -> int:
    records = [await deployment.record(p) for p in deployment.services.values()]
    return sum(record["runs"].get(run_key, 0) for record in records)


async def inject_fault(
    deployment: Deployment, kind: str, name: str, *, count: int = 1, value: float = 0
) -> None:
    processes = deployment.engines if kind == "engine" else deployment.services
    for process in processes.values():
        await deployment.fault(process, name, count=count, value=value)


@given("a deployment of three entry VMs")
def _deployment(deployment: Deployment) -> None:
    """Do nothing: the fixture starts the deployment."""


@given(parsers.parse("every engine cuts its next stream at token {at:d}"))
def _cut(deployment: Deployment, at: int) -> None:
    deployment.background.run(
        inject_fault(deployment, "engine", "cut_stream", value=at)
    )


@given("every engine sends a chunk of another request and a duplicate chunk")
def _mixed(deployment: Deployment) -> None:
    deployment.background.run(inject_fault(deployment, "engine", "wrong_id", count=3))
    deployment.background.run(
        inject_fault(deployment, "engine", "duplicate_chunk", count=3)
    )


@given("every engine stops sending in its next stream")
def _stop_sending(deployment: Deployment) -> None:
    deployment.background.run(inject_fault(deployment, "engine", "silent_stream"))


@given("every engine loses the end of its next stream")
def _lose_end(deployment: Deployment) -> None:
    deployment.background.run(inject_fault(deployment, "engine", "lose_end"))


@given("every service server loses its next reply")
def _lose_reply(deployment: Deployment) -> None:
    deployment.background.run(inject_fault(deployment, "service", "lose_reply"))


@given("every service server cuts its next response")
def _cut_answer(deployment: Deployment) -> None:
    deployment.background.run(inject_fault(deployment, "service", "cut_answer"))


@given("one service server refuses its next call")
def _refuse(deployment: Deployment) -> None:
    server = deployment.services["greffe-1"]
    deployment.background.run(deployment.fault(server, "refuse"))


@given("the platform is down")
def _down(deployment: Deployment) -> None:
    assert deployment.platform is not None
    deployment.background.run(deployment.fault(deployment.platform, "down", count=-1))


@given("the platform loses its next replies")
def _platform_loses(deployment: Deployment) -> None:
    assert deployment.platform is not None
    deployment.background.run(
        deployment.fault(deployment.platform, "lose_reply", count=3)
    )


@when(parsers.parse("a caller streams {tokens:d} tokens"))
def _stream(deployment: Deployment, caller_view: CallerView, tokens: int) -> None:
    head, caller_view.body = deployment.background.run(stream(deployment, tokens))
    caller_view.status, caller_view.tokens = head.status, tokens


@when(parsers.parse("a caller streams {tokens:d} tokens and every engine is killed"))
@when(
    parsers.parse(
        "a caller streams {tokens:d} tokens and every engine is killed meanwhile"
    )
)
def _stream_and_kill(
    deployment: Deployment, caller_view: CallerView, tokens: int
) -> None:
    # Wait for the first event: the run is "partial" only once the caller has
    # received part of the response.
    async def run() -> None:
        pool, first_data, body = HttpPool(), asyncio.Event(), bytearray()

        def on_data(data: bytes) -> None:
            body.extend(data)
            first_data.set()

        request = Request(
            address=deployment.daemons["entry-1"].callers,
            method="POST",
            path="/v1/chat/completions",
            headers=headers(),
            body=chat_body(tokens),
            progress_timeout_s=30.0,
        )
        streaming = asyncio.ensure_future(
            pool.exchange(request, on_head=lambda _: None, on_data=on_data)
        )
        await first_data.wait()
        for engine in deployment.engines.values():
            engine.kill()
        caller_view.status = (await streaming).status
        caller_view.body = bytes(body)
        pool.close()

    deployment.background.run(run())


async def find_busy_engine(deployment: Deployment) -> str:
    for name, process in deployment.engines.items():
        record = await deployment.record(process)
        if len(record["started"]) > len(record["finished"]) + len(record["cancelled"]):
            return name
    return ""


@when(parsers.parse("a caller disconnects during a stream of {tokens:d} tokens"))
def _disconnect(deployment: Deployment, caller_view: CallerView, tokens: int) -> None:
    async def run() -> None:
        streaming = asyncio.ensure_future(stream(deployment, tokens))
        caller_view.engine = await deployment.until(
            lambda: find_busy_engine(deployment)
        )
        streaming.cancel()
        await asyncio.wait([streaming])

    deployment.background.run(run())


@when("a caller files a claim")
def _file(deployment: Deployment, caller_view: CallerView) -> None:
    caller_view.run_key = uuid.uuid4().hex
    deployment.background.run(file_claim(deployment, caller_view))


@when("a caller files a claim with an idempotency key")
def _file_with_key(deployment: Deployment, caller_view: CallerView) -> None:
    caller_view.run_key = caller_view.key = uuid.uuid4().hex
    deployment.background.run(file_claim(deployment, caller_view))


@when("it sends that again through another entry VM")
def _send_again(deployment: Deployment, caller_view: CallerView) -> None:
    caller_view.first_body = caller_view.body
    deployment.background.run(file_claim(deployment, caller_view, "entry-2"))


@when(parsers.parse("a caller fetches {size:d} bytes"))
def _fetch(deployment: Deployment, caller_view: CallerView, size: int) -> None:
    head, caller_view.body = deployment.background.run(
        deployment.request(
            deployment.daemons["entry-1"].callers,
            "GET",
            f"/services/greffe-api/file?size={size}",
            headers=headers(),
        )
    )
    caller_view.status, caller_view.tokens = head.status, size


@when("an engine begins to drain while callers continue")
def _drain(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> None:
        caller_view.engine = (await deployment.engines_with("court-rules"))[0]
        engine = deployment.engines[caller_view.engine]
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + 6.0
        await deployment.json(engine.address, "/admin/leave", method="POST")
        caller_view.drain_start_s = (await deployment.json(engine.address, "/report"))[
            "at_s"
        ]
        while loop.time() < ends_s:
            head, body = await stream(deployment, 5)
            if head.status == 200:
                caller_view.texts.append(text_of(body))

    deployment.background.run(run())


@when(
    parsers.parse(
        "an entry VM is stopped while it serves a stream of {tokens:d} tokens"
    )
)
def _stop(deployment: Deployment, caller_view: CallerView, tokens: int) -> None:
    async def run() -> None:
        streaming = asyncio.ensure_future(stream(deployment, tokens, "entry-2"))
        await deployment.until(lambda: find_busy_engine(deployment))
        process = deployment.daemons["entry-2"].process
        process.signal(signal.SIGTERM)
        head, caller_view.body = await streaming
        caller_view.status, caller_view.tokens = head.status, tokens
        caller_view.exit_code = await asyncio.to_thread(process.wait, 20)

    deployment.background.run(run())


@given("a deferred request that must wait")
def _defer(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> None:
        report = await deployment.json(
            deployment.engines["engine-1"].address, "/report"
        )
        body = {
            "shape": "completion",
            "not_before_s": report["at_s"] + 8,
            "body": {"model": "claim-drafts", "prompt": "night", "max_tokens": 6},
        }
        head, response = await deployment.request(
            deployment.daemons["entry-1"].callers,
            "POST",
            "/v1/deferred",
            body=json.dumps(body).encode(),
            headers=headers(Rosepath_Idempotent="false"),
        )
        assert head.status == 202, response
        caller_view.deferred_id = json.loads(response)["id"]

    deployment.background.run(run())


@when("every entry VM is killed and replaced")
def _replace(deployment: Deployment) -> None:
    async def run() -> None:
        for daemon in deployment.daemons.values():
            daemon.process.kill()
        deployment.daemons.clear()
        for number in (4, 5):
            deployment.start_entry_vm(f"entry-{number}")
        await deployment.wait_ready()

    deployment.background.run(run())


@then("the response is complete")
def _complete(caller_view: CallerView) -> None:
    assert caller_view.status == 200, caller_view.body
    assert text_of(caller_view.body) == response_text(
        "court-rules", PROMPT, caller_view.tokens
    )
    assert caller_view.body.endswith(b"data: [DONE]\n\n")


@then("no token was received twice")
def _once(caller_view: CallerView) -> None:
    ids = [line for line in caller_view.body.split(b"\n") if line.startswith(b"id: ")]
    assert len(ids) == len(set(ids)) == caller_view.tokens + 1


@then("the stream ends with an error whose run is partial")
def _partial(caller_view: CallerView) -> None:
    last = events_of(caller_view.body)[-1]
    assert last["error"]["run"] == "partial"
    assert b"[DONE]" not in caller_view.body


@then("the engine stops generating within a second")
def _cancelled(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> bool:
        record = await deployment.record(deployment.engines[caller_view.engine])
        return bool(record["cancelled"])

    deployment.background.run(
        deployment.until(run, timeout_s=10.0),
    )


@then(parsers.parse("the response is {status:d} with run {run}"))
def _refused(caller_view: CallerView, status: int, run: str) -> None:
    assert (caller_view.status, json.loads(caller_view.body)["error"]["run"]) == (
        status,
        run,
    )


@then(parsers.parse("the response is {status:d}"))
def _status(caller_view: CallerView, status: int) -> None:
    assert caller_view.status == status, caller_view.body


@then("both responses are the same")
def _same(caller_view: CallerView) -> None:
    assert caller_view.status == 200
    assert caller_view.body == caller_view.first_body


@then("the claim ran once")
def _ran_once(deployment: Deployment, caller_view: CallerView) -> None:
    assert (
        deployment.background.run(count_service_runs(deployment, caller_view.run_key))
        == 1
    )


@then("the claim never ran")
def _never_ran(deployment: Deployment, caller_view: CallerView) -> None:
    assert (
        deployment.background.run(count_service_runs(deployment, caller_view.run_key))
        == 0
    )


@then("all of them arrive")
def _all_arrive(caller_view: CallerView) -> None:
    assert (caller_view.status, len(caller_view.body)) == (200, caller_view.tokens)


@then("it received no new work after three seconds")
def _no_new_work(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> list[float]:
        record = await deployment.record(deployment.engines[caller_view.engine])
        return [
            at_s - caller_view.drain_start_s for at_s in record["started_at"].values()
        ]

    assert max(deployment.background.run(run()), default=0.0) < 3.0


@then("every response to those callers was complete")
def _all_complete(caller_view: CallerView) -> None:
    assert caller_view.texts
    assert set(caller_view.texts) == {response_text("court-rules", PROMPT, 5)}


@then("that entry VM exits with code 0")
def _exit_0(caller_view: CallerView) -> None:
    assert caller_view.exit_code == 0


@then("its result can be collected")
def _collected(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> Any:
        _, body = await deployment.request(
            deployment.daemons["entry-4"].callers,
            "GET",
            f"/v1/deferred/{caller_view.deferred_id}",
            headers=headers(),
        )
        response = json.loads(body)
        return response if response.get("status") == "done" else None

    response = deployment.background.run(deployment.until(run, timeout_s=60))
    text = response["result"]["choices"][0]["text"]
    assert text == response_text("claim-drafts", "night", 6)


@then("the engines ran it once")
def _engines_once(deployment: Deployment, caller_view: CallerView) -> None:
    async def run() -> int:
        records = [await deployment.record(p) for p in deployment.engines.values()]
        return sum(
            count
            for record in records
            for key, count in record["started"].items()
            if key.startswith(caller_view.deferred_id)
        )

    assert deployment.background.run(run()) == 1


def test_a_refused_connection_is_reported_as_not_sent() -> None:
    async def run() -> None:
        pool = HttpPool()
        with pytest.raises(ExchangeError) as failure:
            await pool.fetch(Request(address="127.0.0.1:1", method="GET", path="/"))
        assert not failure.value.sent

    asyncio.run(run())
