"""Test connection reuse, failure reporting and timeouts of the HTTP pool."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from rosepath.clock import ManualClock
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, ProbeResult, Request

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Serve raw bytes with a handler and count the connections."""

    def __init__(self, handler: Handler) -> None:
        self.connections = 0
        self._handler = handler

    async def __aenter__(self) -> "Server":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def request(self, **fields: object) -> Request:
        given: dict = {"method": "GET", "path": "/", "progress_timeout_s": 0.2}
        return Request(address=self.address, **{**given, **fields})


def respond_with(*responses: bytes) -> Handler:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()

    return handle


async def send_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await reader.read()


async def wait_idle_closed(pool: HttpPool, server: Server) -> None:
    """Wait until the pool's idle connections to the server are closed."""
    while not all(c.closed for c in pool._idle[server.address]):  # noqa: ASYNC110
        await asyncio.sleep(0)


def test_a_connection_is_reused() -> None:
    async def run() -> None:
        async with Server(respond_with(OK, OK, OK)) as server:
            pool = HttpPool()
            for _ in range(3):
                assert (await pool.fetch(server.request()))[1] == b"ok"
            assert server.connections == 1
            pool.close()

    asyncio.run(run())


def test_the_connection_is_reused_after_a_chunked_response() -> None:
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )

    async def run() -> None:
        async with Server(respond_with(chunked, chunked)) as server:
            pool = HttpPool()
            for _ in range(2):
                assert (await pool.fetch(server.request()))[1] == b"ok"
            assert server.connections == 1
            pool.close()

    asyncio.run(run())


def test_a_connection_idle_for_too_long_is_not_reused() -> None:
    async def run() -> None:
        clock = ManualClock()
        async with Server(respond_with(OK, OK)) as server:
            pool = HttpPool(clock=clock)
            await pool.fetch(server.request())
            clock.advance(2.0)
            await pool.fetch(server.request(proven_live_within_s=1.0))
            assert server.connections == 2
            pool.close()

    asyncio.run(run())


def test_a_connection_closed_while_idle_is_not_reused() -> None:
    async def run() -> None:
        async with Server(respond_with(OK)) as server:
            pool = HttpPool()
            await pool.fetch(server.request())
            await wait_idle_closed(pool, server)
            assert (await pool.fetch(server.request()))[1] == b"ok"
            pool.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("response", "answered"),
    [
        (b"", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nha", True),
        (b"nonsense\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nX: " + b"a" * 100_000 + b"\r\n\r\n", False),
    ],
)
def test_incomplete_or_malformed_responses_raise(
    response: bytes, answered: bool
) -> None:
    async def run() -> None:
        async with Server(respond_with(response)) as server:
            with pytest.raises((ExchangeError, ValueError)) as failure:
                await HttpPool().fetch(server.request())
            if isinstance(failure.value, ExchangeError):
                assert failure.value.sent
                assert failure.value.answered == answered

    asyncio.run(run())


def test_a_refused_connection_is_reported_as_not_sent() -> None:
    async def run() -> None:
        async with Server(respond_with(OK)) as server:
            request = server.request()
        with pytest.raises(ExchangeError) as failure:
            await HttpPool().fetch(request)
        assert not failure.value.sent

    asyncio.run(run())


def test_a_peer_that_sends_nothing_causes_a_timeout() -> None:
    async def run() -> None:
        async with Server(send_nothing) as server:
            with pytest.raises(ExchangeError) as failure:
                await HttpPool().fetch(server.request())
            assert failure.value.timed_out
            assert failure.value.sent

    asyncio.run(run())


def test_a_slow_consumer_causes_no_timeout() -> None:
    size = 4_000_000
    big = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size

    async def run() -> None:
        async with Server(respond_with(big + b"x" * size)) as server:
            taken = 0

            async def consume(data: bytes) -> None:
                nonlocal taken
                if taken == 0:
                    await asyncio.sleep(0.5)
                taken += len(data)

            await HttpPool().exchange(
                server.request(), on_head=lambda _: None, on_data=consume
            )
            assert taken == size

    asyncio.run(run())


def test_an_exception_of_the_consumer_propagates() -> None:
    class ConsumerError(Exception):
        pass

    def fail(_: bytes) -> None:
        raise ConsumerError

    async def run() -> None:
        async with Server(respond_with(OK)) as server:
            with pytest.raises(ConsumerError):
                await HttpPool().exchange(
                    server.request(), on_head=lambda _: None, on_data=fail
                )

    asyncio.run(run())


def test_a_body_is_streamed_in_chunks() -> None:
    received = bytearray()

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await reader.readuntil(b"0\r\n\r\n"))
        writer.write(OK)

    async def body() -> AsyncIterator[bytes]:
        yield b"one"
        yield b"two"

    async def run() -> None:
        async with Server(take) as server:
            await HttpPool().fetch(server.request(method="POST", body_chunks=body()))

    asyncio.run(run())
    assert received.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


def test_an_unsolicited_response_closes_the_connection() -> None:
    # If the connection were reused after a second response, the next request
    # would get a response that is not its own.
    async def run() -> None:
        async with Server(respond_with(OK + OK, OK)) as server:
            pool = HttpPool()
            await pool.fetch(server.request())
            await wait_idle_closed(pool, server)
            await pool.fetch(server.request())
            assert server.connections == 2
            pool.close()

    asyncio.run(run())


def test_a_header_with_a_line_break_is_not_sent() -> None:
    async def run() -> None:
        async with Server(respond_with(OK)) as server:
            with pytest.raises(ValueError, match="line break"):
                await HttpPool().fetch(server.request(headers={"a": "b\r\nc: d"}))

    asyncio.run(run())


def test_a_request_cancelled_while_connecting_is_not_sent() -> None:
    # A lease holder that is suspended while it connects to an engine may
    # resume after another VM acquired the lease. If the order were checked
    # only before connecting, the engine would get orders from two holders.
    async def run() -> None:
        read: list[bytes] = []
        done = asyncio.Event()

        async def note(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            read.append(await reader.read())
            done.set()

        async with Server(note) as server, asyncio.timeout(10):
            pool = HttpPool()
            with pytest.raises(ExchangeError) as raised:
                await pool.fetch(server.request(still_wanted=lambda: False))
            await done.wait()
        assert server.connections == 1
        assert read == [b""]
        assert not raised.value.sent

    asyncio.run(run())


def test_a_probe_detects_a_listener_and_its_connection_is_reused() -> None:
    async def run() -> None:
        pool = HttpPool(clock=ManualClock())
        async with Server(respond_with(OK)) as server:
            contact = await pool.probe(server.address, limit_s=1.0)
            assert contact is ProbeResult.ACCEPTED
            await pool.fetch(server.request())
            assert server.connections == 1
        pool.close()
        contact = await pool.probe(server.address, limit_s=1.0)
        assert contact is ProbeResult.REFUSED

    asyncio.run(run())


ENDLESS_BYTES = 64 * 1024 * 1024
# A little over what the sockets between the two ends hold.
MAX_TAKEN_BYTES = 16 * 1024 * 1024


# Guards against an entry VM that runs out of memory as a failing server sends
# bytes that are no response until it closes.
@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nX: ",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
    ],
)
def test_an_endless_head_is_not_kept_in_memory(start: bytes) -> None:
    async def run() -> None:
        taken = 0

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal taken
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while taken < ENDLESS_BYTES:
                writer.write(b"a" * 65536)
                await writer.drain()
                taken += 65536

        async with Server(handle) as server:
            with pytest.raises(ExchangeError) as error:
                await HttpPool().fetch(server.request(progress_timeout_s=10.0))
            assert error.value.sent
        assert taken < MAX_TAKEN_BYTES

    asyncio.run(run())


# Guards against a server that gets the next request where the rest of a body is due, as
# it has responded before it read that.
def test_a_connection_with_an_unfinished_body_is_not_used_again() -> None:
    async def run() -> None:
        async def two_chunks() -> AsyncIterator[bytes]:
            yield b"first"
            async with asyncio.timeout(10):
                await responded.wait()
            yield b"second"

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await writer.drain()
            received.append(await reader.read())

        responded = asyncio.Event()
        received: list[bytes] = []
        async with Server(handle) as server:
            pool = HttpPool()
            await pool.exchange(
                server.request(method="POST", body_chunks=two_chunks()),
                on_head=lambda _: None,
                on_data=lambda _: responded.set(),
            )
            await pool.fetch(server.request(path="/two"))
            assert server.connections == 2
            pool.close()
        assert not any(b"/two" in data for data in received)

    asyncio.run(run())
