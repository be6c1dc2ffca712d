"""Tests of how long streams are expected to pause beside prompts."""

from dataclasses import replace

from assignment_builders import NOW_S, a_chat, a_document, add_runs
from entry_builders import a_catalog, an_entry

from rosepath.assignment import RunOutcome, RunReport
from rosepath.fleet import Fleet
from rosepath.prompt_caches import PromptCaches
from rosepath.scheduler import Scheduler
from rosepath.stream_pauses import (
    MAX_STREAMS,
    PRIOR_PAUSE_TOKENS,
    StreamPauses,
    pause_s,
)

RATE_PER_S = 40_000.0
CHUNK_TOKENS = 1_024


def learn(pauses: StreamPauses, *, streams: int, tokens: int, gap_s: float) -> None:
    for number in range(streams):
        pauses.note_prefill(f"q{number}", tokens)
        pauses.note_longest_gap(f"q{number}", gap_s, prefill_tokens_per_s=RATE_PER_S)


def test_small_chunks_are_learned_from_streams_beside_documents() -> None:
    # Load: documents among chats, at engines that work in small chunks. Until that
    # is known, documents wait for engines without chats.
    pauses = StreamPauses()
    shown = 5 * CHUNK_TOKENS
    learn(pauses, streams=60, tokens=30_000, gap_s=shown / RATE_PER_S)
    assert abs(pauses.tokens - shown) < 0.01 * shown


def test_longer_pauses_than_expected_are_learned_at_once() -> None:
    # Load: documents among chats, at engines that work in larger chunks than usual.
    # Each stream that pauses until that is known is late.
    pauses = StreamPauses()
    learn(pauses, streams=4, tokens=60_000, gap_s=1.0)
    assert pauses.tokens > 0.9 * RATE_PER_S


def test_pauses_beside_short_prompts_show_nothing() -> None:
    # Load: chats only. Their prompts are shorter than what is prefilled between two
    # events; taken for it, they would let documents in among chats.
    pauses = StreamPauses()
    learn(pauses, streams=60, tokens=600, gap_s=600 / RATE_PER_S)
    learn(pauses, streams=60, tokens=0, gap_s=0.01)
    assert pauses.tokens == PRIOR_PAUSE_TOKENS


def test_streams_whose_end_is_never_reported_are_forgotten() -> None:
    # Load: streams of entry VMs that were killed.
    pauses = StreamPauses()
    for number in range(MAX_STREAMS + 10):
        pauses.note_prefill(f"q{number}", 30_000)
    pauses.note_longest_gap("q1", 1.0, prefill_tokens_per_s=RATE_PER_S)
    assert pauses.tokens == PRIOR_PAUSE_TOKENS


def test_pause_is_bounded_by_the_prompt_and_by_the_chunks() -> None:
    # Load: a document among chats, and a short prompt among them.
    assert pause_s(0.02, longest_s=0.25) == 0.02
    assert pause_s(2.0, longest_s=0.25) == 0.25


def a_scheduler() -> Scheduler:
    fleet = Fleet()
    fleet.put(an_entry("e1"))
    return Scheduler(fleet=fleet, caches=PromptCaches(), catalog=a_catalog)


def test_scheduler_learns_pauses_from_streams_that_end() -> None:
    # Load: a document among chats, on the only engine with the model.
    scheduler = a_scheduler()
    pauses = scheduler.pauses.setdefault("llm", StreamPauses())
    scheduler.submit(a_chat(), now_s=NOW_S)
    scheduler.report(
        [RunReport(request_id="chat", server="e1", began_after_s=0.02)],
        now_s=NOW_S + 0.02,
    )
    document = a_document()
    assert document.prompt is not None
    longer = replace(document.prompt, input_tokens=60_000)
    scheduler.submit(replace(document, prompt=longer), now_s=NOW_S + 0.1)
    ended = RunReport(
        request_id="chat",
        server="e1",
        outcome=RunOutcome.COMPLETED,
        longest_gap_s=0.2,
    )
    scheduler.report([ended], now_s=NOW_S + 2.0)
    assert pauses.tokens < PRIOR_PAUSE_TOKENS


def test_waiting_document_holds_up_no_chat() -> None:
    # Load: a document among chats, on two engines that run chats: the document
    # waits for one without them, and a chat that comes later does not.
    scheduler = a_scheduler()
    scheduler.fleet.put(an_entry("e2"))
    for server in ("e1", "e2"):
        work = scheduler.work.of_server(server)
        work.pace.prefill_tokens_per_s = 10_000.0
        add_runs(work, server, *(a_chat(f"{server}-{n}") for n in range(4)))
    document = a_document(due_in_s=4.0)
    assert scheduler.submit(document, now_s=NOW_S) == []
    assert len(scheduler.submit(a_chat(), now_s=NOW_S)) == 1
    assert len(scheduler.queue) == 1
