"""Respond to requests that are not complete, and end their connections."""

import asyncio

from tornado.http1connection import HTTP1Connection

# How long the rest of a refused body is read and dropped. Closing with bytes unread
# resets the connection, and its caller may lose the response.
LINGER_S = 2.0


def finish_after_body(connection: HTTP1Connection) -> asyncio.TimerHandle:
    """Return the timer that ends a connection, for the case that its body does not."""
    loop = asyncio.get_running_loop()
    return loop.call_later(LINGER_S, finish_connection, connection)


def finish_connection(connection: HTTP1Connection) -> None:
    """Complete a response, which ends a connection that announced so."""
    if not connection.stream.closed():
        connection.finish()


def ignore_write_error(written: "asyncio.Future[None]") -> None:
    """Leave it to the connection's close to tell that a caller is gone."""
    written.add_done_callback(lambda done: done.cancelled() or done.exception())
