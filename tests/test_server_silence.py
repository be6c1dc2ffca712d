"""Finding servers that fell silent towards all entry VMs at once."""

import math

from silent_fleet import REPORT_INTERVAL_S, VMS, SilentFleet, a_progress

from rosepath.server_silence import (
    FIRST_PROBE_S,
    MAX_PROBE_INTERVAL_S,
    MIN_SILENCE_S,
    PROGRESS_TTL_S,
)

# Callers of streams leave after two seconds without an event.
CALLER_PATIENCE_S = 2.0
STEPS = 6


# Guards against callers held until their deadlines: an engine goes dark with
# streams of several VMs, and each of them sees only its own.
def test_an_engine_that_goes_dark_is_found_before_callers_leave() -> None:
    played = SilentFleet()
    assert not played.steps(STEPS, events_at=VMS)
    begun_s = played.now_s
    while not played.step():
        assert played.now_s < begun_s + CALLER_PATIENCE_S
    assert played.is_silent
    [silent] = played.silence.suspects(now_s=played.now_s)
    assert (silent.server, silent.born_ms) == ("e1", 1)
    assert MIN_SILENCE_S <= silent.silent_s <= CALLER_PATIENCE_S


# Guards against sound engines being avoided: one pauses all streams for a second.
def test_a_pause_of_a_second_is_no_silence() -> None:
    played = SilentFleet()
    for _ in range(5):
        assert not played.steps(2)
        assert not played.steps(1, events_at=VMS)


# Guards against a preempted stream making its engine a suspect, while the streams
# of other VMs go on there.
def test_one_silent_vm_among_others_is_no_silence() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert not played.steps(STEPS, events_at=VMS[1:])


# Guards against a sound server being blamed by a VM that lost its links, with
# many streams there.
def test_a_partitioned_vm_alone_finds_no_silence() -> None:
    played = SilentFleet("vm-1", streams=9)
    played.steps(2, events_at=("vm-1",))
    assert not played.steps(STEPS)


# Guards against the same by a data centre that is cut off from the server's.
def test_the_vms_of_one_other_data_centre_find_no_silence() -> None:
    played = SilentFleet(data_centre="b")
    played.steps(2, events_at=VMS)
    assert not played.steps(STEPS)


# Guards against two streams that wait for their turn making an engine a suspect.
def test_few_silent_streams_are_no_silence() -> None:
    played = SilentFleet("vm-1", "vm-2", streams=1)
    played.steps(2, events_at=("vm-1", "vm-2"))
    assert not played.steps(STEPS)


# Guards against reports of a killed VM, which no later ones correct, counting as
# silence: its last streams went on when it was killed.
def test_a_vm_that_stopped_reporting_is_no_witness() -> None:
    played = SilentFleet("vm-1", "vm-2")
    played.steps(2, events_at=("vm-1", "vm-2"))
    played.steps(1)
    found = [name for _ in range(STEPS) for name in played.step(lost="vm-2")]
    assert not found
    assert PROGRESS_TTL_S < STEPS * REPORT_INTERVAL_S


# Guards against one lost message of many hiding a dark engine.
def test_a_lost_report_does_not_hide_the_silence() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert not played.step()
    assert not played.step(lost="vm-1")
    assert played.steps(2) == ["e1"]


# Guards against an engine being avoided while it prefills a long prompt among
# short ones: its streams pause for that time.
def test_streams_may_pause_while_a_long_prompt_is_prefilled() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    pace = played.work.of_server("e1", born_ms=1).pace
    prefill_s = 2.0
    played.assign(unread_tokens=int(prefill_s * pace.prefill_tokens_per_s))
    pause = int((MIN_SILENCE_S + prefill_s) / REPORT_INTERVAL_S)
    assert not played.steps(pause)
    assert played.steps(STEPS) == ["e1"]


# Guards against an engine with slow streams being avoided for its usual gaps.
def test_silence_is_measured_by_the_usual_gap_between_events() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    played.note_gap(0.6)
    assert not played.steps(5)
    assert played.steps(2) == ["e1"]


# Guards against an engine that starts being avoided before its first event.
def test_an_engine_without_any_event_yet_is_not_silent() -> None:
    played = SilentFleet()
    assert not played.steps(STEPS)


# Guards against a server that is sound again staying unused: one event of any VM
# ends the suspicion.
def test_any_event_ends_the_suspicion() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert played.steps(4) == ["e1"]
    played.step(events_at=VMS[:1])
    assert not played.is_silent
    assert not played.silence.suspects(now_s=played.now_s)


# Guards against a probe whose stream ended between two reports being missed.
def test_an_event_of_a_stream_that_has_ended_counts() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert played.steps(4) == ["e1"]
    ended = a_progress("vm-9", streams=0, event_age_s=0.1)
    played.silence.apply_progress([ended], now_s=played.now_s)
    assert not played.is_silent


# Guards against the event that came last before the silence, reported once more,
# ending the suspicion.
def test_a_report_of_an_old_event_does_not_end_the_suspicion() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    silent_since_s = played.now_s
    assert played.steps(4) == ["e1"]
    late = a_progress(event_age_s=played.now_s - silent_since_s)
    played.silence.apply_progress([late], now_s=played.now_s + 0.1)
    assert played.silence.suspects(now_s=played.now_s)


# Guards against all that wait going to a dark engine at once when it is tried
# again, and against one that is back being left unused for long.
def test_a_suspect_is_probed_by_one_request_at_a_time() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    while not played.step():
        pass
    silence, now_s = played.silence, played.now_s
    assert silence.is_silent("e1", now_s=now_s + FIRST_PROBE_S / 2)
    for _ in range(5):
        now_s += MAX_PROBE_INTERVAL_S
        assert not silence.is_silent("e1", now_s=now_s)
        silence.note_assigned("e1", now_s=now_s)
        assert silence.is_silent("e1", now_s=now_s + FIRST_PROBE_S / 2)


# Guards against a server that restarted under its id being taken for the silent
# one, and against reports of its earlier instance.
def test_a_new_instance_is_not_silent() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert played.steps(4) == ["e1"]
    earlier = a_progress(event_age_s=3.0, born_ms=1)
    played.start(born_ms=2)
    played.step()
    assert not played.is_silent
    played.silence.apply_progress([earlier], now_s=played.now_s)
    assert not played.silence.suspects(now_s=played.now_s)


# Guards against the table growing with servers that are gone.
def test_a_server_that_left_is_forgotten() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert played.steps(4) == ["e1"]
    played.fleet.remove("e1")
    played.silence.check(played.work, played.fleet, now_s=played.now_s)
    assert not played.silence.suspects(now_s=played.now_s)


# Guards against a VM that has had no event yet counting as a second witness.
def test_an_unknown_event_age_proves_no_silence() -> None:
    played = SilentFleet("vm-1", "vm-2")
    played.steps(2, events_at=("vm-1",))
    assert not played.steps(STEPS)
    assert math.isinf(played.last_event_s["vm-2"])


# Guards against each of many VMs trying a crashed engine: the first that is refused
# tells the scheduler, which probes it by one request at a time.
def test_a_server_that_refuses_connections_is_avoided_at_once() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    assert not played.is_silent
    played.refuse()
    assert played.is_silent
    now_s = played.now_s
    for _ in range(5):
        now_s += MAX_PROBE_INTERVAL_S
        assert not played.silence.is_silent("e1", now_s=now_s)
        played.silence.note_assigned("e1", now_s=now_s)
        assert played.silence.is_silent("e1", now_s=now_s + FIRST_PROBE_S / 2)


# Guards against the last events before a crash, which are reported after it,
# clearing the crashed engine.
def test_events_from_before_the_refusal_do_not_end_the_suspicion() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    played.refuse()
    played.step()
    assert played.silence.suspects(now_s=played.now_s)


# Guards against a server that some VMs can't reach staying out of use, while it
# goes on with the streams of others.
def test_a_server_that_goes_on_with_streams_is_not_avoided_for_long() -> None:
    played = SilentFleet()
    played.steps(2, events_at=VMS)
    played.refuse()
    played.steps(1, events_at=VMS[:1])
    assert not played.is_silent


# Guards against a refusal by the earlier instance being held against the new one.
def test_a_late_report_of_a_refusal_is_not_held_against_a_new_instance() -> None:
    played = SilentFleet()
    played.start(born_ms=2)
    played.steps(2, events_at=VMS)
    played.refuse(born_ms=1)
    assert not played.is_silent


# Guards against an unknown time of the last event in the message to the VMs.
def test_a_server_that_refused_before_any_event_has_a_finite_silence() -> None:
    played = SilentFleet()
    played.refuse()
    [suspect] = played.silence.suspects(now_s=played.now_s + 1.0)
    assert suspect.silent_s == 1.0
