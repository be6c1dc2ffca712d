"""Builders of declarations, reports, views and stream events."""

from collections.abc import Mapping
from typing import Any

from rosepath.configuration import Configuration, Operation
from rosepath.declarations import parse_declaration
from rosepath.ledger import EngineReport
from rosepath.placement_types import EngineView, PlacementView
from rosepath.tables import Replica


def operation(kind: str, name: str, /, **fields: Any) -> Operation:
    """Build an operation that puts a declaration."""
    return Operation(kind, name, parse_declaration(kind, fields).ok)


def configuration(*operations: Operation, version: int = 1) -> Configuration:
    """Build a configuration from operations."""
    return Configuration().with_operations(operations, version=version)


def engine_operation(name: str, /, **fields: Any) -> Operation:
    """Build the declaration of an engine."""
    given: dict[str, Any] = {
        "data_centre": "casa-a",
        "address": "127.0.0.1:1",
        "memory_bytes": 100,
    }
    return operation("backend_server", name, **{**given, **fields})


def replica(name: str, **fields: Any) -> Replica:
    """Build a replica with `m` resident and a current report."""
    given: dict[str, Any] = {
        "data_centre": "casa-a",
        "slots": 4,
        "resident": frozenset({"m"}),
        "reported_at_s": 0.0,
        "other_vms_load": float(fields.get("running", 0)),
    }
    return Replica(name=name, **{**given, **fields})


def report(**fields: Any) -> EngineReport:
    """Build an engine's report."""
    given: dict[str, Any] = {
        "memory_bytes": 100,
        "resident": {},
        "loading": {},
        "fence": 0,
        "orders": {},
    }
    return EngineReport(**{**given, **fields})


def engine_view(name: str, **fields: Any) -> EngineView:
    """Build a planner's view of an empty engine."""
    given: dict[str, Any] = {
        "data_centre": "casa-a",
        "memory_bytes": 100,
        "free_bytes": 100,
        "slots": 4,
    }
    return EngineView(name=name, **{**given, **fields})


def placement_view(
    engines: list[EngineView], artifacts: Mapping[str, int], **fields: Any
) -> PlacementView:
    """Build a planner's view."""
    return PlacementView(
        engines={engine.name: engine for engine in engines},
        artifacts=artifacts,
        **fields,
    )


def token_event(request_id: str, start: int, end: int, text: str = "x") -> bytes:
    """Build a token event of an engine's stream."""
    data = f'{{"choices": [{{"delta": {{"content": "{text}"}}}}]}}'
    return f"id: {request_id}/{start}-{end}\ndata: {data}\n\n".encode()


def end_events(request_id: str, at: int) -> bytes:
    """Build the events that end an engine's stream."""
    return (
        f'id: {request_id}/{at}-end\ndata: {{"choices": []}}\n\ndata: [DONE]\n\n'
    ).encode()
