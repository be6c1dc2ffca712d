"""What is believed of a backend server through its lives."""

from dataclasses import replace

from entry_builders import an_entry

from rosepath.fleet import Fleet, Flight, LeavingServer


def test_a_server_that_started_again_starts_anew() -> None:
    # An engine crashes behind a cut and starts again under its name, empty. Its
    # former models, errors and running requests were still believed, and
    # requests went to models that it no longer had.
    fleet = Fleet()
    assert not fleet.put(replace(an_entry("e1"), born_ms=100))
    before = fleet.servers["e1"]
    before.flights["q1"] = Flight(target="m0")
    before.error_rate, before.failures = 0.9, 5
    assert fleet.put(replace(an_entry("e1", models={}), born_ms=200))
    now = fleet.servers["e1"]
    assert (now.requests, now.failures, now.error_rate) == (0, 0, 0.0)
    assert now.held == {}
    assert before.left


def test_an_entry_of_a_former_life_is_stale() -> None:
    # A heartbeat of the former life is read after the first of the new one.
    fleet = Fleet()
    fleet.put(replace(an_entry("e1", models={}), born_ms=200))
    assert not fleet.put(replace(an_entry("e1"), born_ms=100))
    assert not fleet.put(an_entry("e1"))
    assert fleet.servers["e1"].held == {}
    fleet.remove("e1")
    fleet.put(replace(an_entry("e1"), born_ms=100))
    assert fleet.servers == {}


def test_the_drain_of_a_former_life_does_not_bind_the_next() -> None:
    # Another VM that has not heard of the new life goes on saying that the
    # server leaves. Taken at its word, it would get no request ever again.
    fleet = Fleet()
    fleet.put(replace(an_entry("e1", draining=True), born_ms=100))
    fleet.put(replace(an_entry("e1"), born_ms=200))
    assert fleet.servers["e1"].usable
    assert not fleet.note_leaving(LeavingServer("e1", 100))
    assert fleet.servers["e1"].usable
    assert fleet.note_leaving(LeavingServer("e1", 200))
    assert not fleet.servers["e1"].usable
