"""The pool keeps connections, knows what was sent, and never hangs."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from rosepath.clock import ManualClock
from rosepath.errors import ExchangeError
from rosepath.http_client import Contact, HttpPool, Request

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Serve raw bytes and count connections."""

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


def answering(*answers: bytes) -> Handler:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()

    return handle


async def stay_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await reader.read()


async def idle_closed(pool: HttpPool, server: Server) -> None:
    """Wait until the pool knows that its idle connection is closed."""
    while not all(c.closed for c in pool._idle[server.address]):  # noqa: ASYNC110
        await asyncio.sleep(0)


def test_a_connection_is_kept_and_used_again() -> None:
    async def run() -> None:
        async with Server(answering(OK, OK, OK)) as server:
            pool = HttpPool()
            for _ in range(3):
                assert (await pool.fetch(server.request()))[1] == b"ok"
            assert server.connections == 1
            pool.close()

    asyncio.run(run())


def test_a_chunked_answer_keeps_its_connection() -> None:
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )

    async def run() -> None:
        async with Server(answering(chunked, chunked)) as server:
            pool = HttpPool()
            for _ in range(2):
                assert (await pool.fetch(server.request()))[1] == b"ok"
            assert server.connections == 1
            pool.close()

    asyncio.run(run())


def test_an_old_connection_is_not_taken_for_what_may_run_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        async with Server(answering(OK, OK)) as server:
            pool = HttpPool(clock=clock)
            await pool.fetch(server.request())
            clock.advance(2.0)
            await pool.fetch(server.request(proven_live_within_s=1.0))
            assert server.connections == 2
            pool.close()

    asyncio.run(run())


def test_a_connection_closed_while_idle_is_not_used() -> None:
    async def run() -> None:
        async with Server(answering(OK)) as server:
            pool = HttpPool()
            await pool.fetch(server.request())
            await idle_closed(pool, server)
            assert (await pool.fetch(server.request()))[1] == b"ok"
            pool.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "answered"),
    [
        (b"", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nha", True),
        (b"nonsense\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nX: " + b"a" * 100_000 + b"\r\n\r\n", False),
    ],
)
def test_half_or_broken_answers_are_failures(answer: bytes, answered: bool) -> None:
    async def run() -> None:
        async with Server(answering(answer)) as server:
            with pytest.raises((ExchangeError, ValueError)) as failure:
                await HttpPool().fetch(server.request())
            if isinstance(failure.value, ExchangeError):
                assert failure.value.sent
                assert failure.value.answered == answered

    asyncio.run(run())


def test_a_refused_connection_sent_nothing() -> None:
    async def run() -> None:
        async with Server(answering(OK)) as server:
            request = server.request()
        with pytest.raises(ExchangeError) as failure:
            await HttpPool().fetch(request)
        assert not failure.value.sent

    asyncio.run(run())


def test_a_silent_peer_is_left_within_its_deadline() -> None:
    async def run() -> None:
        async with Server(stay_silent) as server:
            with pytest.raises(ExchangeError) as failure:
                await HttpPool().fetch(server.request())
            assert failure.value.timed_out
            assert failure.value.sent

    asyncio.run(run())


def test_a_slow_consumer_holds_the_peer_back_and_is_no_silence() -> None:
    size = 4_000_000
    big = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size

    async def run() -> None:
        async with Server(answering(big + b"x" * size)) as server:
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


def test_a_consumers_failure_is_raised_as_it_is() -> None:
    class ConsumerError(Exception):
        pass

    def fail(_: bytes) -> None:
        raise ConsumerError

    async def run() -> None:
        async with Server(answering(OK)) as server:
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


def test_an_answer_that_nobody_asked_for_closes_the_connection() -> None:
    # A second answer arrives on an idle connection; were it kept, the next
    # request would get somebody else's answer.
    async def run() -> None:
        async with Server(answering(OK + OK, OK)) as server:
            pool = HttpPool()
            await pool.fetch(server.request())
            await idle_closed(pool, server)
            await pool.fetch(server.request())
            assert server.connections == 2
            pool.close()

    asyncio.run(run())


def test_a_header_with_a_line_break_is_not_sent() -> None:
    async def run() -> None:
        async with Server(answering(OK)) as server:
            with pytest.raises(ValueError, match="line break"):
                await HttpPool().fetch(server.request(headers={"a": "b\r\nc: d"}))

    asyncio.run(run())


def test_what_is_no_longer_wanted_once_connected_is_not_sent() -> None:
    # A holder of a lease is suspended while it connects to an engine, and wakes
    # after the lease went to another. The order was checked before it
    # connected, went out after, and the engine saw two masters.
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


def test_a_probe_tells_who_listens_and_its_connection_is_used_again() -> None:
    async def run() -> None:
        pool = HttpPool(clock=ManualClock())
        async with Server(answering(OK)) as server:
            contact = await pool.probe(server.address, limit_s=1.0)
            assert contact is Contact.ACCEPTED
            await pool.fetch(server.request())
            assert server.connections == 1
        pool.close()
        contact = await pool.probe(server.address, limit_s=1.0)
        assert contact is Contact.REFUSED

    asyncio.run(run())
