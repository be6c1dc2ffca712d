"""Shared by the commands: connection to the daemon, exit codes and output."""

import asyncio
import json
import os
import ssl
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Literal, TypeVar

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.const import Status

from rosepath.proto.rosepath_grpc import OperatorsStub

Output = Literal["table", "json"]
T = TypeVar("T")

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_NOT_FOUND = 5
EXIT_TIMED_OUT = 6
CALL_TIMEOUT_S = 10.0

_EXIT_CODES = {
    Status.INVALID_ARGUMENT: EXIT_INVALID,
    Status.FAILED_PRECONDITION: EXIT_INVALID,
    Status.ABORTED: EXIT_CONFLICT,
    Status.UNAVAILABLE: EXIT_UNAVAILABLE,
    Status.DEADLINE_EXCEEDED: EXIT_UNAVAILABLE,
    Status.NOT_FOUND: EXIT_NOT_FOUND,
}


def _channel() -> Channel:
    address = os.environ.get("ROSEPATH_OPERATORS", "127.0.0.1:8082")
    host, _, port = address.rpartition(":")
    context = None
    if ca_file := os.environ.get("ROSEPATH_CA_FILE"):
        context = ssl.create_default_context(cafile=ca_file)
        context.check_hostname = False
        context.set_alpn_protocols(["h2"])
        certificate = os.environ.get("ROSEPATH_CERTIFICATE_FILE")
        if certificate:
            context.load_cert_chain(certificate, os.environ.get("ROSEPATH_KEY_FILE"))
    return Channel(host, int(port), ssl=context)


def call(work: Callable[[OperatorsStub], Awaitable[T]]) -> T:
    """Run `work` on a connection to the daemon.

    On failure, exits with a code that depends only on the kind of failure.
    """

    async def run() -> T:
        async with _channel() as channel:
            return await work(OperatorsStub(channel))

    try:
        return asyncio.run(run())
    except GRPCError as error:
        print(f"rosepath: {error.status.name}: {error.message}", file=sys.stderr)
        raise SystemExit(_EXIT_CODES.get(error.status, EXIT_FAILED)) from None
    except (OSError, TimeoutError) as error:
        print(f"rosepath: daemon unreachable: {error}", file=sys.stderr)
        raise SystemExit(EXIT_UNAVAILABLE) from None


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under a header in aligned columns."""
    lines = [header, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[n]) for line in lines) for n in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))
