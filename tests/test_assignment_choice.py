"""Tests of the choice of a server by the scheduler, without a network."""

import math
from dataclasses import replace

import pytest
from assignment_builders import (
    NOW_S,
    a_chat,
    a_document,
    a_place_server,
    add_runs,
    an_engine,
    an_order,
)

from rosepath.assignment import AssignmentRequest
from rosepath.assignment_choice import (
    SPARE_REQUESTS,
    Candidate,
    choose_candidate,
    count_late_streams,
    count_others,
    has_room,
    predict_adapter_s,
    waiting_group,
)
from rosepath.engine_choice import OCCUPIED_PENALTY_S
from rosepath.response_metadata import ServerLoad

# A pause of half a second, beyond the target gap of any chat.
LONG_PAUSE_TOKENS = 19_000


def chosen(
    request: AssignmentRequest, *candidates: Candidate, after_s: float = 0.0
) -> str | None:
    choice = choose_candidate(request, candidates, now_s=NOW_S + after_s)
    return choice.candidate.server.name if choice is not None else None


def test_document_goes_where_no_chat_pauses() -> None:
    # Load: a document among chats. At the engine with the shorter queue it would
    # make eight streams pause for longer than their callers accept.
    for chats, other in (("e1", "e2"), ("e2", "e1")):
        engines = [
            an_engine(chats, streams=8, unread_tokens=12_000),
            an_engine(other, prefill_left_s=0.09, unread_tokens=12_000),
        ]
        engines = [
            replace(engine, pause_tokens=LONG_PAUSE_TOKENS) for engine in engines
        ]
        assert chosen(a_document(), *engines) == other


def test_document_waits_while_all_engines_run_chats_then_is_served() -> None:
    # Load: a document among chats on all engines. Waiting costs it nothing while
    # it can be in time; it may not wait for ever.
    engines = [
        an_engine(name, streams=8, tokens_per_s=17_000.0) for name in ("e1", "e2")
    ]
    document = a_document(due_in_s=4.0)
    assert chosen(document, *engines) is None
    last_s = document.wait_until_s - NOW_S - 0.1
    assert chosen(document, *engines, after_s=last_s) is not None


def test_harm_of_a_prompt_is_bounded_by_what_is_prefilled_between_events() -> None:
    # Load: a document among chats, at an engine that works in small chunks: a
    # stream gets an event every five of them, however long the prompt.
    engine = an_engine("e1", streams=8)
    small_chunks = replace(engine, pause_tokens=5 * 1_024)
    large_chunks = replace(engine, pause_tokens=5 * 4_096)
    assert count_late_streams(small_chunks, now_s=NOW_S) == 0
    longer = replace(large_chunks, unread_tokens=20_000)
    assert count_late_streams(longer, now_s=NOW_S) == 8


def test_streams_that_pause_already_are_not_counted_again() -> None:
    # Load: a burst of documents. Streams that are late by the first of them are
    # not made late by the second.
    engine = an_engine("e1", streams=8, prefill_left_s=0.6)
    engine = replace(engine, pause_tokens=LONG_PAUSE_TOKENS)
    assert count_late_streams(engine, now_s=NOW_S) == 0


def test_one_replica_serves_documents_beside_its_chats() -> None:
    # Load: one replica only. Waiting would not find the document another engine.
    engine = an_engine("e1", streams=20, tokens_per_s=17_000.0)
    assert chosen(a_document(due_in_s=4.0), engine) == "e1"


def test_burst_of_documents_takes_one_replica_each_and_then_waits() -> None:
    # Load: a burst of documents for a model with three replicas. Queued behind
    # another, a document is late, and so is every chat behind both.
    names, given = ["e1", "e2", "e3"], dict.fromkeys(("e1", "e2", "e3"), 0.0)
    for number in range(3):
        engines = [an_engine(name, prefill_left_s=given[name]) for name in names]
        name = chosen(a_document(f"d{number}"), *engines)
        assert name is not None
        given[name] += 0.24
    assert all(given.values())
    engines = [an_engine(name, prefill_left_s=given[name]) for name in names]
    assert chosen(a_document("d4"), *engines) is None


@pytest.mark.parametrize("unread", (600, 9_200, 60_000))
def test_engine_that_is_nearly_done_gets_the_next_prompt(unread: int) -> None:
    # Load: a burst of documents. An engine must not stand idle for the time of the
    # messages, and the largest prompt is not held back by its own size.
    engine = an_engine("e1", prefill_left_s=0.01, unread_tokens=unread)
    busy = an_engine("e2", prefill_left_s=1.0, unread_tokens=unread)
    late = replace(a_document(), due_s=NOW_S - 1.0)
    assert chosen(late, engine, busy) == "e1"


def test_slow_engine_prefills_documents_rather_than_runs_chats() -> None:
    # Load: one slow engine in four. A chat there has every token late.
    engines = [an_engine(f"e{n}", unread_tokens=600) for n in range(3)]
    engines.append(an_engine("slow", tokens_per_s=17_000.0, unread_tokens=600))
    assert chosen(a_chat(), *engines) != "slow"
    cached = [replace(engine, unread_tokens=1_000) for engine in engines]
    assert chosen(a_document(due_in_s=4.0), *cached) == "slow"


def test_chat_avoids_an_engine_whose_documents_would_make_it_late() -> None:
    # Load: one slow engine in four, which prefills documents: the next document
    # there makes a chat pause for longer than its caller accepts.
    slow = an_engine("slow", tokens_per_s=17_000.0, unread_tokens=600)
    add_runs(slow.work, "slow", a_document("d1"))
    usual = an_engine("usual", streams=30, prefill_left_s=0.05, unread_tokens=600)
    assert chosen(a_chat(), slow, usual) == "usual"


def test_requests_for_different_engines_wait_apart() -> None:
    # Load: a document among chats. Requests that wait for different engines wait
    # apart from each other.
    groups = {
        waiting_group(request)
        for request in (a_chat(), a_document(), a_document(shared="s2"), an_order())
    }
    assert len(groups) == 4
    assert waiting_group(a_chat("c1")) == waiting_group(a_chat("c2"))


def test_machine_that_is_slowed_for_a_moment_is_avoided() -> None:
    # Load: a machine slowed 2.5 times for 0.6 s. Its engine is used again as soon
    # as the slowdown is over.
    for usual, slowed in (("e1", "e2"), ("e2", "e1")):
        engines = (
            an_engine(usual, unread_tokens=5_000),
            an_engine(slowed, unread_tokens=5_000, slowdown=2.5),
        )
        assert chosen(a_chat(), *engines) == usual
        assert chosen(a_chat(), replace(engines[1])) == slowed


def test_new_replica_is_filled_to_its_bound_only() -> None:
    # Load: a new replica while the requests of 66 entry VMs wait. The first to be
    # assigned are in time; the rest would only queue at the engine.
    left_s, assigned = 0.0, 0
    while assigned < 66:
        new = an_engine("new", prefill_left_s=left_s, unread_tokens=600)
        old = an_engine("old", prefill_left_s=2.0, unread_tokens=600)
        if chosen(a_chat(f"q{assigned}"), new, old) is None:
            break
        left_s += new.work.pace.prefill_s(600, now_s=NOW_S)
        assigned += 1
    # All that were assigned begin within the target.
    assert 0 < assigned < 66
    assert left_s < a_chat().due_s - NOW_S


def test_document_goes_where_its_shared_part_is_cached() -> None:
    # Load: documents with shared parts. Prefilling 6,300 tokens again takes the
    # engine longer than a short queue.
    home = an_engine("home", prefill_left_s=0.08, unread_tokens=2_900)
    assert chosen(a_document(), an_engine("e1"), home) == "home"


def test_document_leaves_a_home_with_a_long_queue() -> None:
    # Load: documents that all share one part. The wait for its home would be
    # longer than prefilling it once more.
    home = an_engine("home", prefill_left_s=0.5, unread_tokens=2_900)
    assert chosen(a_document(), an_engine("e1"), home) == "e1"


def test_new_shared_parts_spread_over_idle_replicas() -> None:
    # Load: documents with shared parts that no engine has cached. Replicas that
    # cache the same parts have room for fewer of them.
    engines = [an_engine(f"e{n}") for n in range(3)]
    homes = {chosen(a_document(shared=f"s{n}"), *engines) for n in range(60)}
    assert homes == {"e0", "e1", "e2"}
    again = {chosen(a_document("x", shared="s1"), *engines) for _ in range(3)}
    assert len(again) == 1


def test_engine_that_has_the_adapter_is_preferred() -> None:
    # Load: chats with adapters. Each load costs one of eight slots, and time.
    without = an_engine("e1", unread_tokens=600, adapter_s=0.03)
    for name in ("e0", "e2"):
        engines = (without, an_engine(name, streams=4, unread_tokens=600))
        assert chosen(a_chat(adapter="a1"), *engines) == name


def test_engine_without_a_free_adapter_slot_is_not_chosen() -> None:
    # Load: chats with more adapters than slots. The load would be rejected.
    full = an_engine("full", unread_tokens=600, adapter_s=OCCUPIED_PENALTY_S)
    assert chosen(a_chat(adapter="a1"), full) is None


def test_last_adapter_slots_are_spared() -> None:
    # Load: chats with more adapters than one engine has slots. Each new one goes
    # where most slots are free, so that the next finds one anywhere.
    free, used = an_engine("free"), an_engine("used")
    for number in range(7):
        request = a_chat(f"q{number}", adapter=f"a{number}")
        add_runs(used.work, "used", request)
    delays_s = [
        predict_adapter_s(engine.server, engine.work, adapter_slots=slots, now_s=NOW_S)
        for engine, slots in ((free, 8), (used, 8), (used, 7))
    ]
    assert delays_s[0] < delays_s[1] < delays_s[2] == OCCUPIED_PENALTY_S


def test_suspect_engine_that_alone_has_the_model_is_used() -> None:
    # Load: one replica only, which failed a moment ago and is slow.
    engine = an_engine("e1", tokens_per_s=5_000.0, slowdown=2.5, unread_tokens=600)
    engine.server.suspect_until_s = math.inf
    engine.server.error_rate = 0.9
    assert chosen(a_chat(), engine) == "e1"


def test_order_goes_to_a_free_place_in_its_data_centre() -> None:
    # Load: a small service at 0.9 of its places. Equal servers differ by a
    # millisecond each way; a full one costs more.
    near, far = a_place_server("near"), a_place_server("far", data_centre="b")
    assert chosen(an_order(), far, near) == "near"
    assert chosen(an_order(data_centre="b"), far, near) == "far"
    full = a_place_server("full", running=6)
    assert chosen(an_order(), full, far) == "far"


def test_small_service_gets_one_request_more_than_its_places() -> None:
    # Load: a small service whose places are all taken. One request more is there
    # when a place is free; the others can still go elsewhere.
    for running in (6, 6 + SPARE_REQUESTS):
        servers = [a_place_server(f"s{n}", running=running) for n in range(3)]
        expected = running < 6 + SPARE_REQUESTS
        assert (chosen(an_order(), *servers) is not None) == expected


def test_slow_and_failing_servers_get_less() -> None:
    # Load: a small service of which one server is slow or returns errors.
    usual = a_place_server("usual", running=5)
    assert chosen(an_order(), a_place_server("slow", latency_s=0.2), usual) == "usual"
    assert chosen(an_order(), a_place_server("slow", slowdown=2.5), usual) == "usual"
    failing = a_place_server("failing", error_rate=0.5)
    assert chosen(an_order(), failing, usual) == "usual"
    assert chosen(an_order(), failing) == "failing"


def test_requests_assigned_after_a_statement_are_not_of_others() -> None:
    # Load: a small service at 0.9 of its places. A statement of 20 ms ago can't
    # include what was assigned since, and counts what others have sent.
    server = a_place_server("s1", running=4)
    stated = ServerLoad(running=5, waiting=1, slots=6)
    assert count_others(stated, server.work, stated_s=NOW_S) == 2
    before_s = NOW_S - 2.0
    idle = ServerLoad(running=0, waiting=0, slots=6)
    assert count_others(idle, server.work, stated_s=before_s) == 0
    assert count_others(idle, server.work, stated_s=NOW_S) == 0


def test_places_that_others_use_are_taken() -> None:
    # Load: a small service that other schedulers use, too.
    used = a_place_server("used", others=7)
    assert not has_room(used, an_order(), now_s=NOW_S)
    assert chosen(an_order(), used, a_place_server("free", running=5)) == "free"
