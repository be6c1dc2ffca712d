"""The `rosepath` command line, a client of the operators' gRPC service."""

import asyncio
import json
import sys
import tomllib
import uuid
from pathlib import Path
from typing import Any

import defopt

from rosepath.cli_calls import (
    CALL_TIMEOUT_S,
    EXIT_INVALID,
    EXIT_TIMED_OUT,
    Output,
    call,
    print_json,
    print_table,
)
from rosepath.cli_logs import explain, quotas, report
from rosepath.proto import rosepath_pb2 as pb
from rosepath.proto.rosepath_grpc import OperatorsStub

WAIT_POLL_S = 0.1


def apply(
    file: Path,
    *,
    change_id: str = "",
    expected_version: int = -1,
    dry_run: bool = False,
    output: Output = "table",
) -> int:
    """Apply a TOML file of declarations as one change.

    The file has one table per declaration, `[KIND.NAME]`. The top-level list
    `delete` names declarations to remove, each as `KIND/NAME`.

    :param file: TOML file
    :param change_id: reuse the id of a change to learn whether it was accepted
    :param expected_version: version that the change is made against; -1: current
    :param dry_run: only show the differences and the predicted moves
    :param output: table or json
    """
    try:
        operations = _operations_from(tomllib.loads(file.read_text(encoding="utf-8")))
    except (OSError, ValueError) as error:
        print(f"rosepath: {file}: {error}", file=sys.stderr)
        return EXIT_INVALID
    return _change(operations, change_id, expected_version, dry_run, output)


def _operations_from(raw: dict[str, Any]) -> list[pb.Operation]:
    operations = []
    for reference in raw.pop("delete", []):
        kind, separator, name = str(reference).partition("/")
        if not separator:
            raise ValueError(f"delete: {reference!r} is not KIND/NAME")
        operations.append(pb.Operation(kind=kind, name=name))
    for kind, table in raw.items():
        if not isinstance(table, dict):
            raise ValueError(f"{kind}: expected tables [{kind}.NAME]")
        for name, declaration in table.items():
            text = json.dumps(declaration)
            operations.append(pb.Operation(kind=kind, name=name, declaration_json=text))
    return operations


def declare(
    kind: str,
    name: str,
    declaration: str,
    *,
    change_id: str = "",
    expected_version: int = -1,
    dry_run: bool = False,
    output: Output = "table",
) -> int:
    """Create or replace one declaration, given as JSON.

    :param kind: model, version, adapter, service, caller, route, limit, ...
    :param name: its name
    :param declaration: its fields as JSON
    :param change_id: reuse the id of a change to learn whether it was accepted
    :param expected_version: version that the change is made against; -1: current
    :param dry_run: only show the differences and the predicted moves
    :param output: table or json
    """
    operation = pb.Operation(kind=kind, name=name, declaration_json=declaration)
    return _change([operation], change_id, expected_version, dry_run, output)


def delete(
    kind: str,
    name: str,
    *,
    change_id: str = "",
    expected_version: int = -1,
    dry_run: bool = False,
    output: Output = "table",
) -> int:
    """Delete one declaration.

    :param kind: its kind
    :param name: its name
    :param change_id: reuse the id of a change to learn whether it was accepted
    :param expected_version: version that the change is made against; -1: current
    :param dry_run: only show the differences and the predicted moves
    :param output: table or json
    """
    operation = pb.Operation(kind=kind, name=name)
    return _change([operation], change_id, expected_version, dry_run, output)


def drain(backend_server: str, *, reason: str = "", output: Output = "table") -> int:
    """Stop new work on a backend server and move its models away.

    :param backend_server: its name
    :param reason: recorded with the drain
    :param output: table or json
    """
    text = json.dumps({"reason": reason})
    return declare("drain", backend_server, text, output=output)


def undrain(backend_server: str, *, output: Output = "table") -> int:
    """Return a drained backend server to use.

    :param backend_server: its name
    :param output: table or json
    """
    return delete("drain", backend_server, output=output)


def _change(
    operations: list[pb.Operation],
    change_id: str,
    expected_version: int,
    dry_run: bool,
    output: Output,
) -> int:
    resolved_change_id = change_id or uuid.uuid4().hex

    async def work(stub: OperatorsStub) -> pb.ChangeReply:
        version = expected_version
        if version < 0:
            # Each list reply has the current version. Quiet windows are listed
            # because there are few of them.
            version = (await stub.List(pb.ListRequest(kind="quiet_window"))).version
        request = pb.ChangeRequest(
            change_id=resolved_change_id,
            expected_version=version,
            dry_run=dry_run,
            operations=operations,
        )
        return await stub.Change(request, timeout=CALL_TIMEOUT_S)

    reply = call(work)
    if output == "json":
        print_json(
            {
                "version": reply.version,
                "change_id": resolved_change_id,
                "already_applied": reply.already_applied,
                "dry_run": dry_run,
                "diff": list(reply.diff),
                "moves": list(reply.moves),
            }
        )
        return 0
    label = "would change" if dry_run else "version"
    print(f"{label} {reply.version}  change_id {resolved_change_id}")
    for line in reply.diff:
        print(f"  {line}")
    for move in reply.moves:
        print(f"  move: {move}")
    return 0


def list_(kind: str = "", *, output: Output = "table") -> int:
    """List declarations, all or of one kind.

    :param kind: only this kind
    :param output: table or json
    """
    request = pb.ListRequest(kind=kind)
    reply = call(lambda stub: stub.List(request, timeout=CALL_TIMEOUT_S))
    return _show_declarations(reply, output)


def get(kind: str, name: str, *, output: Output = "table") -> int:
    """Show one declaration.

    :param kind: its kind
    :param name: its name
    :param output: table or json
    """
    request = pb.ListRequest(kind=kind, name=name)
    reply = call(lambda stub: stub.List(request, timeout=CALL_TIMEOUT_S))
    return _show_declarations(reply, output)


def _show_declarations(reply: pb.ListReply, output: Output) -> int:
    rows = [(op.kind, op.name, op.declaration_json) for op in reply.declarations]
    if output == "json":
        declarations = [
            {"kind": kind, "name": name, "declaration": json.loads(text)}
            for kind, name, text in rows
        ]
        print_json({"version": reply.version, "declarations": declarations})
    else:
        print(f"version {reply.version}")
        print_table(("KIND", "NAME", "DECLARATION"), rows)
    return 0


def history(*, limit: int = 20, output: Output = "table") -> int:
    """Show the latest changes, newest first.

    :param limit: how many
    :param output: table or json
    """
    request = pb.HistoryRequest(limit=limit)
    reply = call(lambda stub: stub.History(request, timeout=CALL_TIMEOUT_S))
    if output == "json":
        print_json(
            [
                {
                    "version": e.version,
                    "change_id": e.change_id,
                    "operator": e.operator,
                    "at_s": e.at_s,
                    "summary": list(e.summary),
                }
                for e in reply.entries
            ]
        )
        return 0
    print_table(
        ("VERSION", "OPERATOR", "CHANGE", "SUMMARY"),
        [
            (e.version, e.operator, e.change_id, ", ".join(e.summary[:3]))
            for e in reply.entries
        ],
    )
    return 0


def status(*, output: Output = "table") -> int:
    """Show entry VMs, backend servers, leases and the latest moves.

    :param output: table or json
    """
    reply = call(lambda stub: stub.Status(pb.StatusRequest(), timeout=CALL_TIMEOUT_S))
    if output == "json":
        from google.protobuf.json_format import MessageToDict

        print_json(MessageToDict(reply, preserving_proto_field_name=True))
        return 0
    platform = "reachable" if reply.platform_reachable else "unreachable"
    print(f"seen from {reply.entry_vm}: version {reply.version}, platform {platform}")
    print_table(
        ("ENTRY VM", "DATA CENTRE", "STATE", "VERSION"),
        [(r.name, r.data_centre, r.state, r.version_in_force) for r in reply.entry_vms],
    )
    print_table(
        ("BACKEND SERVER", "DATA CENTRE", "STATE", "RUNNING", "LOADED"),
        [
            (r.name, r.data_centre, r.state, r.running, " ".join(r.resident))
            for r in reply.backend_servers
        ],
    )
    print_table(
        ("LEASE", "HOLDER", "REMAINING"),
        [(r.name, r.holder or "-", f"{r.remaining_s:.1f} s") for r in reply.leases],
    )
    return 0


def moves(*, output: Output = "table") -> int:
    """Show the moves ordered by the entry VM that responds, with reasons.

    :param output: table or json
    """
    reply = call(lambda stub: stub.Status(pb.StatusRequest(), timeout=CALL_TIMEOUT_S))
    rows = [
        (f"{m.at_s:.1f}", m.action, m.subject, m.backend_server, m.reason, m.outcome)
        for m in reply.moves
    ]
    if output == "json":
        keys = ("at_s", "action", "target", "backend_server", "reason", "outcome")
        print_json([dict(zip(keys, row, strict=True)) for row in rows])
    else:
        print_table(("AT", "ACTION", "TARGET", "SERVER", "REASON", "OUTCOME"), rows)
    return 0


def wait(version: int, *, timeout_s: float = 19.0) -> int:
    """Wait until a version is in force on every live entry VM.

    :param version: the version
    :param timeout_s: after this long, fail and name the entry VMs with an older version
    """

    async def work(stub: OperatorsStub) -> list[str]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            reply = await stub.Status(pb.StatusRequest(), timeout=CALL_TIMEOUT_S)
            lagging = [
                row.name
                for row in reply.entry_vms
                if row.state != "dead" and row.version_in_force < version
            ]
            if not lagging or loop.time() > deadline_s:
                return lagging
            await asyncio.sleep(WAIT_POLL_S)

    lagging = call(work)
    if lagging:
        print(f"not in force on: {' '.join(lagging)}", file=sys.stderr)
        return EXIT_TIMED_OUT
    print(f"version {version} is in force everywhere")
    return 0


def watch(*, after_version: int = 0, count: int = 0) -> int:
    """Print each new version as it comes into force.

    :param after_version: only later versions
    :param count: stop after this many versions; 0: never
    """

    async def work(stub: OperatorsStub) -> None:
        seen = 0
        async with stub.Watch.open() as stream:
            request = pb.WatchRequest(after_version=after_version)
            await stream.send_message(request, end=True)
            async for event in stream:
                print(event.version, flush=True)
                seen += 1
                if count and seen >= count:
                    await stream.cancel()
                    return

    call(work)
    return 0


def main() -> None:
    """Run the command line."""
    commands = {
        "apply": apply,
        "declare": declare,
        "delete": delete,
        "drain": drain,
        "undrain": undrain,
        "list": list_,
        "get": get,
        "history": history,
        "status": status,
        "moves": moves,
        "wait": wait,
        "watch": watch,
        "explain": explain,
        "report": report,
        "quotas": quotas,
    }
    raise SystemExit(defopt.run(commands))


if __name__ == "__main__":
    main()
