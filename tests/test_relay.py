"""Responses that callers receive when backend servers fail or misbehave."""

import asyncio
from dataclasses import replace

import pytest
from entry_builders import a_route
from entry_harness import (
    SIGNATURE_HEADER,
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    answer,
    chunk,
    event,
    read_request,
    request,
    running_gateway,
    stream_head,
)
from structlog.testing import capture_logs

from rosepath.attempt import MAX_BODY_BYTES
from rosepath.catalog import HostRoute, RouteKind
from rosepath.clock import SystemClock
from rosepath.configuration_view import ConfigurationView
from rosepath.entry_metrics import EntryMetrics
from rosepath.peer_messages import NEVER_S
from rosepath.relay import MAX_LOGGED_CHARS
from rosepath.request_records import RequestRecorder
from rosepath.retry_policy import MAX_SENT_ATTEMPTS


def generate(shared: str = "aa") -> str:
    prompt = f"Model: m0\r\nToken-Usage: 300,20\r\nPrompt-Prefix: {shared}:200,bb:100"
    return f"POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1\r\n{prompt}"


FILE = "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1"
LOOK_UP = "GET /drafts/1 HTTP/1.1\r\nRequest-Id: q1"


def a_plain_route(kind: RouteKind, *, max_attempts: int = 2) -> HostRoute:
    return a_route(kind=kind, service="desk", max_attempts=max_attempts)


async def answers(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 200, b"whole"))


async def breaks_off(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 200, b"whole")[:-2])
    writer.close()


async def refuses(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 503, b"", "Not-Executed: 1\r\n"))


async def fails(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 500, b"sorry"))


async def streams(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    first = int(received.headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(received))
    for number in range(first, 5):
        writer.write(chunk(event(number)))
    writer.write(b"0\r\n\r\n")


async def dies_after_two_events(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        stream_head(received) + chunk(event(1)) + chunk(event(2) + b"id: 3\nda")
    )
    await writer.drain()
    writer.close()


async def ask_until_routed_to(node: RunningGateway, server: ScriptedServer) -> bytes:
    """Send different prompts until one is routed to the server."""
    for number in range(40):
        data = await node.send_request(generate(f"{number:x}"))
        if server.requests:
            return data
    raise AssertionError(f"{server.name} was sent no prompt")


def test_a_non_idempotent_request_is_not_retried_after_a_lost_response() -> None:
    # The server runs the request, then its response breaks off. A retry would
    # lodge the claim twice, and a 503 would state that it had not run.
    async def run() -> None:
        servers = ScriptedServer("s1", breaks_off), ScriptedServer("s2", breaks_off)
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(*servers, route=route) as node:
            data = await node.send_request(FILE, b"claim")
        assert data.startswith(b"HTTP/1.1 502")
        assert sum(len(server.requests) for server in servers) == 1

    asyncio.run(run())


def test_a_request_refused_without_running_goes_to_another_server() -> None:
    async def run() -> None:
        servers = ScriptedServer("s1", refuses), ScriptedServer("s2", answers)
        route = a_plain_route(RouteKind.NON_IDEMPOTENT, max_attempts=1)
        async with running_gateway(*servers, route=route) as node:
            data = await node.send_request(FILE, b"claim")
        assert data.endswith(b"whole")

    asyncio.run(run())


def test_a_request_that_no_server_ran_gets_a_503_with_retry_after() -> None:
    async def run() -> None:
        servers = ScriptedServer("s1", refuses), ScriptedServer("s2", refuses)
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(*servers, route=route, slack=1.5) as node:
            data = await node.send_request(FILE, b"claim")
        assert data.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: " in data

    asyncio.run(run())


def test_the_log_names_what_prevented_another_attempt() -> None:
    async def run() -> None:
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(
            ScriptedServer("s1", refuses), route=route, slack=0.0
        ) as node:
            await node.send_request(FILE, b"claim")

    with capture_logs() as lines:
        asyncio.run(run())
    refused = next(line for line in lines if line["event"] == "request_refused")
    assert refused["obstacle"] == "budget_spent"
    assert refused["repeats_left"] < 1


def test_an_idempotent_request_is_retried_elsewhere_after_an_error() -> None:
    async def run() -> None:
        servers = ScriptedServer("s1", fails), ScriptedServer("s2", answers)
        route = a_plain_route(RouteKind.IDEMPOTENT)
        async with running_gateway(*servers, route=route) as node:
            for _ in range(6):
                assert (await node.send_request(LOOK_UP)).endswith(b"whole")

    asyncio.run(run())


def test_the_last_error_response_is_passed_on_unchanged() -> None:
    async def run() -> None:
        servers = ScriptedServer("s1", fails), ScriptedServer("s2", fails)
        async with running_gateway(
            *servers, route=a_plain_route(RouteKind.IDEMPOTENT)
        ) as node:
            data = await node.send_request(LOOK_UP)
        assert data.startswith(b"HTTP/1.1 500") and data.endswith(b"sorry")
        assert b"Response-Signature: s" in data

    asyncio.run(run())


def test_a_late_response_to_another_request_is_not_passed_on() -> None:
    # On a reused connection the server sends a stray response before the
    # expected one. Only the request id tells them apart.
    async def run() -> None:
        async def stray_first(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            stray = ReceivedRequest(received.line, {"request-id": "other"}, b"")
            writer.write(answer(stray, 200, b"wrong") + answer(received, 200, b"right"))

        server = ScriptedServer("s1", stray_first)
        async with running_gateway(
            server, route=a_plain_route(RouteKind.IDEMPOTENT)
        ) as node:
            assert (await node.send_request(LOOK_UP)).endswith(b"right")

    asyncio.run(run())


def test_a_resumable_stream_resumes_after_the_last_event() -> None:
    async def run() -> None:
        first = ScriptedServer("s1", dies_after_two_events)
        second = ScriptedServer("s2", streams)
        async with running_gateway(first, second) as node:
            data = await ask_until_routed_to(node, first)
        events = b"".join(event(number) for number in range(1, 5))
        body = data.partition(b"\r\n\r\n")[2]
        assert b"".join(body.split(b"\r\n")[1::2]) == events
        resumed = [
            received
            for received in second.requests
            if "last-event-id" in received.headers
        ]
        assert resumed and resumed[0].headers["last-event-id"] == "2"

    asyncio.run(run())


def test_an_interrupted_stream_that_cannot_resume_does_not_look_complete() -> None:
    async def run() -> None:
        servers = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(*servers, route=a_route(resumable=False)) as node:
            data = await ask_until_routed_to(node, servers[0])
        assert event(2) in data
        assert not data.endswith(b"0\r\n\r\n")
        assert len(servers[0].requests) == 1

    asyncio.run(run())


def test_a_stream_resumed_at_a_failing_server_does_not_look_complete() -> None:
    # A server dies in the middle of a stream and the next one responds with
    # 500, which must not end the stream as if it were complete.
    async def run() -> None:
        first, second = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", fails),
        )
        async with running_gateway(first, second) as node:
            for number in range(40):
                data = await node.send_request(generate(f"{number:x}"))
                if any(
                    "last-event-id" in received.headers for received in second.requests
                ):
                    break
        assert "last-event-id" in second.requests[-1].headers
        assert event(2) in data
        assert not data.endswith(b"0\r\n\r\n")

    asyncio.run(run())


def test_closing_the_callers_connection_stops_the_server() -> None:
    # Unless the caller's connection is watched while its response is awaited,
    # its close goes unnoticed and the engine keeps generating.
    async def run() -> None:
        async def never(received: ReceivedRequest, _: asyncio.StreamWriter) -> None:
            begun.set()

        begun = asyncio.Event()
        server = ScriptedServer("s1", never)
        async with running_gateway(server) as node, asyncio.timeout(10):
            _, writer = await node.connect()
            writer.write(request(generate()))
            await begun.wait()
            writer.close()
            await server.disconnected.wait()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("GET /drafts/1 HTTP/1.1", 400),
        ("GET /nowhere/ HTTP/1.1\r\nRequest-Id: q1", 404),
        (f"{LOOK_UP}\r\nModel: m0\r\nPrompt-Prefix: a:b:c", 400),
        (f"{LOOK_UP}\r\nModel: m0\r\nToken-Usage: many", 400),
    ],
)
def test_an_invalid_request_gets_a_client_error(head: str, status: int) -> None:
    async def run() -> None:
        server = ScriptedServer("s1", answers)
        async with running_gateway(
            server, route=a_plain_route(RouteKind.IDEMPOTENT)
        ) as node:
            data = await node.send_request(head)
            assert data.startswith(b"HTTP/1.1 %d" % status)
            assert (await node.send_request(LOOK_UP)).endswith(b"whole")
        assert len(server.requests) == 1

    asyncio.run(run())


def test_internal_headers_sent_by_a_caller_are_not_forwarded() -> None:
    async def run() -> None:
        server = ScriptedServer("s1", answers)
        async with running_gateway(
            server, route=a_plain_route(RouteKind.IDEMPOTENT)
        ) as node:
            await node.send_request(
                f"{LOOK_UP}\r\nHold: h1\r\nKv-From: x\r\nX-Other: kept"
            )
        headers = server.requests[0].headers
        assert "hold" not in headers and "kv-from" not in headers
        assert headers["x-other"] == "kept"
        assert headers["target-instance"] == "s1"
        assert int(headers["request-deadline-ms"]) <= 6000

    asyncio.run(run())


def test_a_response_begun_before_a_stop_closes_its_connection_at_the_end() -> None:
    # The response's headers were sent before the stop, without Connection:
    # close. If the connection stays open, a caller may send another request on
    # it, which is lost when the process exits.
    async def run() -> None:
        async def half(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(received) + chunk(event(1)))
            await finish.wait()
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        finish = asyncio.Event()
        async with (
            running_gateway(ScriptedServer("s1", half)) as node,
            asyncio.timeout(10),
        ):
            reader, writer = await node.connect()
            writer.write(request(generate()))
            await reader.readuntil(event(1))
            node.gateway.closing = True
            finish.set()
            rest = await reader.read()
            assert rest.endswith(b"0\r\n\r\n")

    asyncio.run(run())


def test_a_stop_closes_idle_connections() -> None:
    async def run() -> None:
        server = ScriptedServer("s1", answers)
        route = a_plain_route(RouteKind.IDEMPOTENT)
        async with running_gateway(server, route=route) as node, asyncio.timeout(10):
            reader, writer = await node.connect()
            writer.write(request(LOOK_UP))
            await reader.readuntil(b"whole")
            node.gateway.close_idle()
            assert await reader.read() == b""

    asyncio.run(run())


def test_the_harness_reads_complete_requests() -> None:
    async def run() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(request(FILE, b"abc"))
        received = await read_request(reader)
        assert received.body == b"abc"

    asyncio.run(run())


def test_a_request_that_all_servers_refuse_does_not_use_up_the_retry_budget() -> None:
    # While an engine carries out an order, it refuses the requests that the
    # order affects. Without a limit, one request was sent 22 times in two
    # seconds.
    async def run() -> None:
        server = ScriptedServer("s1", refuses)
        async with running_gateway(server) as node:
            data = await node.send_request(generate())
        assert data.startswith(b"HTTP/1.1 503")
        assert len(server.requests) <= MAX_SENT_ATTEMPTS

    asyncio.run(run())


def test_a_request_waits_for_a_crashed_engine_to_come_back() -> None:
    # The only engine with the model has crashed, and its entry stays listed
    # for seconds. Six connections refused within milliseconds must not end the
    # request, since an engine may have the model a moment later.
    async def run() -> None:
        server = ScriptedServer("s1", streams)
        async with running_gateway(server) as node, asyncio.timeout(20):
            host, _, port = server.address.partition(":")
            await node.close_server("s1")
            asking = asyncio.ensure_future(node.send_request(generate()))
            await node.wait_connect_failure("s1")
            back = await asyncio.start_server(server.serve, host, int(port))
            data = await asking
            back.close()
        assert data.endswith(b"0\r\n\r\n")

    asyncio.run(run())


def test_a_planned_stop_refuses_requests_that_wait_for_a_server() -> None:
    # No engine has the model and the entry VM is stopping. A request that kept
    # waiting would be cut at the end of the grace period; refused without
    # having run, it can be served by another VM. The long timeouts ensure that
    # only the stop can end the wait.
    async def run() -> None:
        patient = replace(a_route(timeout_s=600.0), target_latency_s=100.0)
        async with running_gateway(route=patient) as node, asyncio.timeout(10):
            reader, writer = await node.connect()
            writer.write(request(generate()))
            while not node.gateway.serving:  # noqa: ASYNC110
                await asyncio.sleep(0)
            node.wait_limit_s = 0.0
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in head

    asyncio.run(run())


def test_a_planned_stop_lets_a_begun_stream_resume_elsewhere() -> None:
    # A stream breaks off at its server during a planned stop and no server is
    # available at that moment. The refusal of waiting requests after the
    # stop's notice is meant for requests that were never sent, and must not
    # cut it. This is the unproved explanation of a stream cut once, 3.6 s into
    # a planned stop.
    async def run() -> None:
        asked_before: list[ReceivedRequest] = []

        async def breaks_once(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            asked_before.append(received)
            if len(asked_before) > 1:
                await streams(received, writer)
                return
            writer.write(stream_head(received) + chunk(event(1)))
            await writer.drain()
            node.wait_limit_s = 0.0
            writer.close()

        server = ScriptedServer("s1", breaks_once)
        async with running_gateway(server) as node, asyncio.timeout(10):
            data = await node.send_request(generate())
        assert data.endswith(b"0\r\n\r\n")
        assert event(4) in data

    asyncio.run(run())


UNROUTED = "GET /elsewhere/1?x=1 HTTP/1.1\r\nRequest-Id: q1"
BEHIND = ConfigurationView(version=4, age_s=1.2504, behind=True)
BEHIND_FIELDS = {
    "configuration": 4,
    "configuration_age_s": 1.25,
    "configuration_behind": True,
}


@pytest.mark.parametrize(
    ("head", "view", "status", "code"),
    [
        (UNROUTED, BEHIND, 503, "configuration_outdated"),
        (UNROUTED, replace(BEHIND, behind=False), 404, "no_route"),
        ("GET /drafts/1 HTTP/1.1", BEHIND, 400, "bad_request"),
    ],
)
def test_the_log_of_an_unrouted_request_names_the_configuration(
    head: str, view: ConfigurationView, status: int, code: str
) -> None:
    # A request whose route only a newer configuration declares may get a 404,
    # and the log must show which configuration was in force.
    async def run() -> None:
        servers = ScriptedServer("s1", answers)
        async with running_gateway(servers, configuration=lambda: view) as node:
            await node.send_request(head)

    with capture_logs() as lines:
        asyncio.run(run())
    (line,) = (line for line in lines if line["event"] == "request_unrouted")
    assert (line["status"], line["code"]) == (status, code)
    assert (line["host"], line["path"]) == (
        "court.example",
        head.split()[1].partition("?")[0],
    )
    assert line.items() >= view.log_fields.items()
    assert line["configuration_behind"] is view.behind


def test_the_logged_path_is_truncated() -> None:
    # Any caller may send paths of 60 kB, which would fill the retained log.
    async def run() -> None:
        async with running_gateway(ScriptedServer("s1", answers)) as node:
            await node.send_request(f"GET /{'x' * 9000} HTTP/1.1\r\nRequest-Id: q1")

    with capture_logs() as lines:
        asyncio.run(run())
    (line,) = (line for line in lines if line["event"] == "request_unrouted")
    assert len(line["path"]) == MAX_LOGGED_CHARS


def test_the_log_of_a_refusal_names_the_configuration_that_routed_it() -> None:
    # By the time the line is logged, a newer version may be in force.
    views = iter((BEHIND, ConfigurationView(version=5, age_s=0.0)))

    async def run() -> None:
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(
            ScriptedServer("s1", refuses),
            route=route,
            slack=0.0,
            configuration=lambda: next(views),
        ) as node:
            await node.send_request(FILE, b"claim")

    with capture_logs() as lines:
        asyncio.run(run())
    line = next(line for line in lines if line["event"] == "request_refused")
    assert line.items() >= BEHIND_FIELDS.items()


def test_the_log_of_a_response_names_the_configuration_that_routed_it() -> None:
    # Otherwise it can't be determined whether an outdated configuration caused
    # a wrong response.
    records = RequestRecorder(EntryMetrics(), clock=SystemClock())

    async def run() -> None:
        async with running_gateway(
            ScriptedServer("s1", answers),
            route=a_plain_route(RouteKind.IDEMPOTENT),
            configuration=lambda: BEHIND,
            on_outcome=records.record,
        ) as node:
            assert (await node.send_request(LOOK_UP)).endswith(b"whole")

    with capture_logs() as lines:
        asyncio.run(run())
    line = next(line for line in lines if line["event"] == "request_ended")
    assert line.items() >= BEHIND_FIELDS.items()


def test_an_unknown_configuration_age_is_logged_as_a_finite_number() -> None:
    # JSON has no infinity, and 1e9 s would be read as a real age.
    fields = ConfigurationView(age_s=float("inf")).log_fields
    assert fields["configuration_age_s"] == NEVER_S


def head_without_length(received: ReceivedRequest) -> bytes:
    """Return the head of a response that ends with its connection."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {received.request_id}\r\n"
        f"{SIGNATURE_HEADER}\r\n"
    ).encode()


async def ends_with_its_connection(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(head_without_length(received) + b"".join(map(event, range(1, 5))))
    writer.close()


async def ends_inside_an_event(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(head_without_length(received) + event(1) + event(2)[:-3])
    writer.close()


# Guards against a response without a length that is taken for broken off.
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAMING])
def test_a_response_that_ends_with_its_connection_is_complete(kind: RouteKind) -> None:
    async def run() -> None:
        server = ScriptedServer("s1", ends_with_its_connection)
        route = a_route(kind=kind, service="desk")
        async with running_gateway(server, route=route) as running:
            data = await running.send_request(LOOK_UP)
            assert b" 200 " in data.split(b"\r\n")[0]
            assert all(event(number) in data for number in range(1, 5))
            assert running.outcomes == [(200, "")]

    asyncio.run(run())


# Guards against a stream that looks complete though its server broke it off.
def test_a_stream_that_ends_inside_an_event_resumes_at_another_server() -> None:
    async def run() -> None:
        servers = (
            ScriptedServer("s1", ends_inside_an_event),
            ScriptedServer("s2", streams),
        )
        route = a_route(kind=RouteKind.STREAMING, service="desk")
        async with running_gateway(*servers, route=route) as running:
            for _ in range(4):
                data = await running.send_request(LOOK_UP)
                assert all(data.count(event(number)) == 1 for number in range(1, 5))

    asyncio.run(run())


ENDLESS_BYTES = 128 * 1024 * 1024


# Guards against an entry VM that runs out of memory as a failing server sends
# a body without end, or events without end on a connection that its caller no
# longer reads.
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAMING])
def test_a_body_without_end_is_not_kept_in_memory(kind: RouteKind) -> None:
    async def run() -> None:
        taken = 0

        async def sends_on(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal taken
            writer.write(stream_head(received))
            while taken < ENDLESS_BYTES:
                writer.write(chunk(b"a" * 65536))
                await writer.drain()
                taken += 65536

        server = ScriptedServer("s1", sends_on)
        route = a_route(kind=kind, service="desk", max_attempts=1, timeout_s=3.0)
        async with running_gateway(server, route=route) as running:
            data = await running.send_request(LOOK_UP)
            assert b" 502 " in data.split(b"\r\n")[0]
            assert taken < MAX_BODY_BYTES + 16 * 1024 * 1024

    asyncio.run(run())
