"""Tests of the server table across server restarts and departures."""

from dataclasses import replace

from entry_builders import an_entry

from rosepath.fleet import Fleet, InFlightRequest, LeavingServer


def test_restarted_server_starts_with_fresh_state() -> None:
    # An engine crashes in a cut-off data centre and restarts empty under its
    # name. Keeping its former models, errors and running requests sent
    # requests to models that were no longer resident.
    fleet = Fleet()
    assert not fleet.put(replace(an_entry("e1"), born_ms=100))
    previous = fleet.servers["e1"]
    previous.in_flight_requests["q1"] = InFlightRequest(target="m0")
    previous.error_rate, previous.failures = 0.9, 5
    assert fleet.put(replace(an_entry("e1", models={}), born_ms=200))
    restarted = fleet.servers["e1"]
    assert (restarted.requests, restarted.failures, restarted.error_rate) == (0, 0, 0.0)
    assert restarted.resident_models == {}
    assert previous.left


def test_entry_from_before_a_restart_is_ignored() -> None:
    # A heartbeat of the former process is read after the first of the new one.
    fleet = Fleet()
    fleet.put(replace(an_entry("e1", models={}), born_ms=200))
    assert not fleet.put(replace(an_entry("e1"), born_ms=100))
    assert not fleet.put(an_entry("e1"))
    assert fleet.servers["e1"].resident_models == {}
    fleet.remove("e1")
    fleet.put(replace(an_entry("e1"), born_ms=100))
    assert fleet.servers == {}


# Guards against a new process being taken for the earlier one, with its caches, as
# its predecessor's entry lapsed before it started.
def test_a_server_that_comes_back_after_its_entry_lapsed_has_restarted() -> None:
    fleet = Fleet()
    fleet.put(replace(an_entry("e1"), born_ms=100))
    fleet.remove("e1")
    assert fleet.put(replace(an_entry("e1", models={}), born_ms=200))
    fleet.remove("e1")
    assert not fleet.put(replace(an_entry("e1"), born_ms=200))


def test_drain_from_before_a_restart_is_ignored() -> None:
    # Another VM that has not received the restarted server's entry still
    # reports that it is leaving. Applying that report would keep all requests
    # from it.
    fleet = Fleet()
    fleet.put(replace(an_entry("e1", draining=True), born_ms=100))
    fleet.put(replace(an_entry("e1"), born_ms=200))
    assert fleet.servers["e1"].usable
    assert not fleet.note_leaving(LeavingServer("e1", 100))
    assert fleet.servers["e1"].usable
    assert fleet.note_leaving(LeavingServer("e1", 200))
    assert not fleet.servers["e1"].usable


# Guards against keeping what was observed of a server that now runs other software.
def test_another_software_version_is_a_restart() -> None:
    fleet = Fleet()
    fleet.put(replace(an_entry("s1"), software_version="v1"))
    earlier = fleet.servers["s1"]
    assert not fleet.put(replace(an_entry("s1"), software_version="v1"))
    assert fleet.put(replace(an_entry("s1"), software_version="v2"))
    assert earlier.left
    assert fleet.servers["s1"] is not earlier
