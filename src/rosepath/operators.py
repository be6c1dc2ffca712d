"""gRPC service for operators: changes, listings, history, status, watch."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from grpclib import GRPCError
from grpclib.const import Status
from grpclib.server import Stream

from rosepath.clock import Clock
from rosepath.configuration import ConfigurationState, Operation
from rosepath.configuration_store import (
    Accepted,
    ChangeFailure,
    ConfigurationStore,
    Invalid,
    ProposedChange,
    VersionConflict,
)
from rosepath.declarations import KINDS, as_plain_data, parse_declaration_json
from rosepath.object_store import StoreError
from rosepath.proto import rosepath_pb2 as pb
from rosepath.proto.rosepath_grpc import OperatorsBase
from rosepath.tables import Tables

MAX_OPERATIONS = 10_000
UNKNOWN_OPERATOR = "unauthenticated"


@dataclass(slots=True, kw_only=True)
class OperatorPorts:
    """What the operator service depends on.

    The condition is notified when another configuration version is in force.
    """

    entry_vm: str
    tables: Tables
    state: ConfigurationState
    store: ConfigurationStore
    clock: Clock
    leases: Callable[[], list[pb.LeaseStatus]]
    platform_reachable: Callable[[], bool]
    predict_moves: Callable[[Accepted], list[str]]
    share_units: Callable[[], int]
    version_changed: asyncio.Condition = field(default_factory=asyncio.Condition)


class OperatorService(OperatorsBase):
    """Implement the operators' gRPC service."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports

    async def Change(  # noqa: N802
        self, stream: "Stream[pb.ChangeRequest, pb.ChangeReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        if not request.change_id:
            raise GRPCError(Status.INVALID_ARGUMENT, "change_id is missing")
        operations = parse_operations(request)
        if operations.is_error():
            raise GRPCError(Status.INVALID_ARGUMENT, operations.error)
        change = ProposedChange(
            change_id=request.change_id,
            expected_version=request.expected_version,
            operator=operator_of(stream),
            at_s=self._ports.clock.wall_s(),
            operations=operations.ok,
            dry_run=request.dry_run,
        )
        try:
            outcome = await self._ports.store.commit(change)
        except StoreError as error:
            raise GRPCError(
                Status.UNAVAILABLE,
                f"{error}; repeat with the same change_id to learn the outcome",
            ) from error
        await stream.send_message(self._reply(outcome, change))

    def _reply(
        self, outcome: Result[Accepted, ChangeFailure], change: ProposedChange
    ) -> pb.ChangeReply:
        match outcome:
            case Result(tag="ok", ok=accepted):
                return pb.ChangeReply(
                    version=accepted.version,
                    already_applied=accepted.already_applied,
                    diff=accepted.diff,
                    moves=self._ports.predict_moves(accepted),
                )
            case Result(error=failure):
                raise _as_grpc_error(failure, change)

    async def List(  # noqa: N802
        self, stream: "Stream[pb.ListRequest, pb.ListReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        if request.kind and request.kind not in KINDS:
            raise GRPCError(Status.INVALID_ARGUMENT, f"unknown kind {request.kind!r}")
        configuration = self._ports.state.configuration
        rows = [
            pb.Operation(
                kind=kind,
                name=name,
                declaration_json=json.dumps(as_plain_data(declaration)),
            )
            for kind in KINDS
            if request.kind in ("", kind)
            for name, declaration in sorted(configuration.table(kind).items())
            if request.name in ("", name)
        ]
        if request.name and not rows:
            raise GRPCError(Status.NOT_FOUND, f"no {request.kind} {request.name!r}")
        reply = pb.ListReply(version=configuration.version, declarations=rows)
        await stream.send_message(reply)

    async def History(  # noqa: N802
        self, stream: "Stream[pb.HistoryRequest, pb.HistoryReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        changes = self._ports.state.head.changes
        selected = changes[-request.limit :] if request.limit else changes
        entries = [
            pb.HistoryEntry(
                version=change.version,
                change_id=change.change_id,
                operator=change.operator,
                at_s=change.at_s,
                summary=change.summary,
            )
            for change in reversed(selected)
        ]
        await stream.send_message(pb.HistoryReply(entries=entries))

    async def Status(  # noqa: N802
        self, stream: "Stream[pb.StatusRequest, pb.StatusReply]"
    ) -> None:
        if await stream.recv_message() is None:
            return
        ports = self._ports
        await stream.send_message(
            pb.StatusReply(
                entry_vm=ports.entry_vm,
                version=ports.state.head.version,
                platform_reachable=ports.platform_reachable(),
                entry_vms=_entry_vm_rows(ports.tables),
                backend_servers=_backend_server_rows(
                    ports.tables, now_s=ports.clock.monotonic_s()
                ),
                leases=ports.leases(),
                moves=_move_rows(ports.tables),
                share_units=ports.share_units(),
            )
        )

    async def Watch(  # noqa: N802
        self, stream: "Stream[pb.WatchRequest, pb.RevisionEvent]"
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        seen = request.after_version
        while True:
            async with self._ports.version_changed:
                while self._ports.state.head.version <= seen:
                    await self._ports.version_changed.wait()
            seen = self._ports.state.head.version
            await stream.send_message(pb.RevisionEvent(version=seen))


def parse_operations(request: pb.ChangeRequest) -> Result[list[Operation], str]:
    """Parse and validate each operation of a change on its own."""
    if len(request.operations) > MAX_OPERATIONS:
        return Error(f"more than {MAX_OPERATIONS} operations")
    operations = []
    for message in request.operations:
        if message.kind not in KINDS or not message.name:
            return Error(f"unknown kind {message.kind!r} or empty name")
        if not message.declaration_json:
            operations.append(Operation(message.kind, message.name, None))
            continue
        match parse_declaration_json(message.kind, message.declaration_json):
            case Result(tag="ok", ok=declaration):
                operations.append(Operation(message.kind, message.name, declaration))
            case Result(error=problem):
                return Error(f"{message.name}: {problem}")
    return Ok(operations)


def operator_of(stream: "Stream") -> str:
    """Return the common name of the operator's client certificate."""
    certificate = stream.peer.cert() if stream.peer else None
    for part in (certificate or {}).get("subject", ()):
        for key, value in part:
            if key == "commonName":
                return str(value)
    return UNKNOWN_OPERATOR


def _as_grpc_error(failure: ChangeFailure, change: ProposedChange) -> GRPCError:
    if isinstance(failure, VersionConflict):
        return GRPCError(
            Status.ABORTED,
            f"expected_version {change.expected_version}, "
            f"current version {failure.current_version}",
        )
    assert isinstance(failure, Invalid)
    return GRPCError(Status.FAILED_PRECONDITION, "; ".join(failure.problems))


def _entry_vm_rows(tables: Tables) -> list[pb.EntryVmStatus]:
    return [
        pb.EntryVmStatus(
            name=row.name,
            data_centre=row.data_centre,
            state=row.state.name.lower(),
            version_in_force=row.configuration_version,
        )
        for row in sorted(tables.entry_vms.values(), key=lambda row: row.name)
    ]


def _backend_server_rows(
    tables: Tables, *, now_s: float
) -> list[pb.BackendServerStatus]:
    rows = []
    for row in sorted(tables.replicas.values(), key=lambda row: row.name):
        state = "leaving" if row.leaving else "live"
        reported_at_s = row.reported_at_s
        rows.append(
            pb.BackendServerStatus(
                name=row.name,
                data_centre=row.data_centre,
                state=state if row.reachable else "unreachable",
                memory_bytes=row.memory_bytes,
                resident=sorted(row.resident),
                running=row.running,
                report_age_s=-1.0 if reported_at_s is None else now_s - reported_at_s,
            )
        )
    return rows


def _move_rows(tables: Tables) -> list[pb.MoveStatus]:
    return [
        pb.MoveStatus(
            at_s=record.at_s,
            action=record.move.action.value,
            subject=record.move.target,
            backend_server=record.move.backend_server,
            reason=record.move.reason.value,
            outcome=record.outcome,
        )
        for record in tables.moves
    ]
