"""Hold the request bodies of an application up to a common limit."""

import asyncio
import json
import uuid
from collections.abc import Awaitable
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

from rosepath.caller_handler import error_body
from rosepath.clock import Clock
from rosepath.errors import Refusal, Run, Step
from rosepath.held_bytes import HeldBytes, upload_weight
from rosepath.lingering import (
    finish_after_body,
    finish_connection,
    ignore_write_error,
)
from rosepath.logs import get_logger

NO_ROOM = Refusal(
    503,
    "no_memory",
    "the entry VM has no memory for the request's body",
    Run.NO,
    Step.PARSE,
)
RETRY_AFTER_S = 1

_log = get_logger()


class BodyLimiter(HTTPServerConnectionDelegate):
    """Pass requests on to an application once their bodies are complete.

    Bodies that the application reads as a stream, below `streamed_prefix`, are
    passed on as they arrive.
    """

    def __init__(
        self,
        application: Application,
        held: HeldBytes,
        *,
        clock: Clock,
        streamed_prefix: str,
    ) -> None:
        self._application = application
        self._streamed_prefix = streamed_prefix
        self._held = held
        self._clock = clock

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return HeldBody(
            self._application.start_request(server_conn, request_conn),
            cast(HTTP1Connection, request_conn),
            held=self._held,
            clock=self._clock,
            streamed_prefix=self._streamed_prefix,
        )

    def on_close(self, server_conn: object) -> None:
        self._application.on_close(server_conn)


class HeldBody(HTTPMessageDelegate):
    """Own what is read of one request until its response is complete."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: HTTP1Connection,
        *,
        held: HeldBytes,
        clock: Clock,
        streamed_prefix: str,
    ) -> None:
        self._delegate = delegate
        self._streamed_prefix = streamed_prefix
        self._streamed = False
        self._connection = connection
        self._clock = clock
        self._body = bytearray()
        self._hold = held.open()
        self._started_s = 0.0
        self._refused = False
        self._linger_timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self._streamed = start_line.path.startswith(self._streamed_prefix)
        self._started_s = self._clock.monotonic_s()
        self._hold.break_off = self._refuse
        self._hold.weight = self._weight
        # Resolved once the response is complete, or the connection is closed.
        ended = self._connection._finish_future
        ended.add_done_callback(lambda _: self._hold.release())
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._refused:
            return None
        if self._streamed:
            return self._delegate.data_received(chunk)
        if self._hold.grow(len(chunk)):
            self._body += chunk
        else:
            self._refuse()
        return None

    def finish(self) -> None:
        if self._refused:
            self._cancel_linger()
            finish_connection(self._connection)
            return
        # A request that is served keeps its body.
        self._hold.break_off = None
        if self._body:
            self._delegate.data_received(bytes(self._body))
            self._body = bytearray()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._cancel_linger()
        self._hold.release()
        self._body = bytearray()
        self._delegate.on_connection_close()

    def _weight(self) -> float:
        age_s = self._clock.monotonic_s() - self._started_s
        return upload_weight(age_s=age_s, received_bytes=self._hold.size_bytes)

    def _refuse(self) -> None:
        """Refuse a request for whose body there is no room."""
        self._refused = True
        self._body = bytearray()
        self._hold.release()
        request_id = uuid.uuid4().hex
        _log.info(
            "refused",
            request_id=request_id,
            code=NO_ROOM.code,
            run=NO_ROOM.run,
            step=NO_ROOM.step,
        )
        body = json.dumps(error_body(NO_ROOM, request_id)).encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Rosepath-Run": NO_ROOM.run.value,
                "Rosepath-Request-Id": request_id,
                "Retry-After": str(RETRY_AFTER_S),
            }
        )
        self._connection._disconnect_on_finish = True
        line = ResponseStartLine("HTTP/1.1", NO_ROOM.status, "Service Unavailable")
        ignore_write_error(self._connection.write_headers(line, headers, body))
        self._linger_timer = finish_after_body(self._connection)

    def _cancel_linger(self) -> None:
        if self._linger_timer is not None:
            self._linger_timer.cancel()
