"""What is known of a server after it started again under its id."""

import asyncio
import json
from typing import Any

import pytest
from entry_builders import a_prompt, a_server_document

from rosepath.assignment import (
    Assignment,
    AssignmentRequest,
    RunOutcome,
    RunReport,
)
from rosepath.clock import ManualClock
from rosepath.object_store import Change, Listing, StoredObject
from rosepath.prompt_caches import PromptCaches
from rosepath.response_metadata import ServerLoad
from rosepath.server_work import WorkTable
from rosepath.store_tables import StoreTables
from rosepath.store_watcher import WatchPolicy

EARLIER_MS, LATER_MS = 100, 200
NOW_S = 50.0


class NoStore:
    """Reject all calls: the tests pass in listings and changes directly."""

    async def list(self, kind: str, **_: Any) -> Listing:
        raise NotImplementedError(kind)

    async def changes(self, kind: str, **_: Any) -> Change:
        raise NotImplementedError(kind)


def an_object(born_ms: int, *, version: int) -> dict[str, StoredObject]:
    raw = json.dumps(a_server_document(born=born_ms)).encode()
    return {"servers/e1": StoredObject("servers/e1", version, raw)}


def a_change(
    revision: int, *, born_ms: int | None = None, lapsed: bool = False
) -> Change:
    """Build a change of the entry of `e1`: written, or lapsed."""
    written = an_object(born_ms, version=revision) if born_ms is not None else {}
    removed = frozenset({"servers/e1"} if lapsed else ())
    return Change(revision=revision, written=written, removed=removed)


# Guards against prompts being counted as cached by a process that has read nothing:
# a crashed engine starts again before its entry lapses, or after.
@pytest.mark.parametrize("lapses_before", [False, True])
def test_a_restarted_engine_has_no_prompt_cached(*, lapses_before: bool) -> None:
    async def run() -> None:
        caches, prompt = PromptCaches(), a_prompt()
        tables = StoreTables(
            NoStore(),
            clock=ManualClock(),
            servers_watch_policy=WatchPolicy,
            catalog_watch_policy=WatchPolicy,
            on_catalog=lambda _: None,
            on_restarted=caches.forget,
        )
        tables._servers_changed(a_change(3, born_ms=EARLIER_MS))
        caches.note_read(tables.fleet.servers["e1"], prompt)
        assert caches.cached_tokens(tables.fleet.servers["e1"], prompt) > 0
        if lapses_before:
            tables._servers_changed(a_change(4, lapsed=True))
        tables._servers_changed(a_change(5, born_ms=LATER_MS))
        assert caches.cached_tokens(tables.fleet.servers["e1"], prompt) == 0

    asyncio.run(run())


def an_assignment(request_id: str) -> Assignment:
    request = AssignmentRequest(
        request_id=request_id,
        service="llm",
        entry_vm="vm-1",
        data_centre="a",
        arrived_s=NOW_S,
        due_s=NOW_S + 1.0,
        wait_until_s=NOW_S + 5.0,
        deadline_s=NOW_S + 20.0,
    )
    return Assignment(request=request, server="e1", unread_tokens=60_000)


# Guards against a new process that is idle being avoided for the runs of the one
# before it.
def test_a_restarted_server_has_no_work() -> None:
    table = WorkTable()
    table.of_server("e1", born_ms=EARLIER_MS)
    table.assign(an_assignment("q1"), now_s=NOW_S)
    work = table.of_server("e1", born_ms=LATER_MS)
    assert not work.runs and work.prefill_left_s(NOW_S) == 0.0
    assert table.server_of("q1") is None


# Guards against the earlier process's reports, which arrive late, ending runs of the
# new one or changing its pace.
def test_late_reports_of_an_earlier_instance_change_nothing() -> None:
    table = WorkTable()
    table.of_server("e1", born_ms=EARLIER_MS)
    table.assign(an_assignment("q1"), now_s=NOW_S)
    work = table.of_server("e1", born_ms=LATER_MS)
    table.assign(an_assignment("q2"), now_s=NOW_S)
    late = RunReport(
        request_id="q1",
        server="e1",
        outcome=RunOutcome.FAILED,
        load=ServerLoad(running=9, waiting=9, slots=9, slowdown=2.5),
        born_ms=EARLIER_MS,
    )
    table.apply(late, now_s=NOW_S)
    assert set(work.runs) == {"q2"}
    assert work.pace.current_slowdown(NOW_S) == 1.0


# Guards against an entry of the earlier process, read late, discarding the work of
# the new one.
def test_an_earlier_instance_does_not_replace_a_later_one() -> None:
    table = WorkTable()
    table.of_server("e1", born_ms=LATER_MS)
    table.assign(an_assignment("q1"), now_s=NOW_S)
    assert set(table.of_server("e1", born_ms=EARLIER_MS).runs) == {"q1"}
