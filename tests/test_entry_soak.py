"""Entry VMs keep their guarantees while faults overlap."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.entry_soak import EntrySoak, soak

LASTS_S = 8.0


def _play(seed: int, directory: Path) -> EntrySoak:
    return asyncio.run(soak(seed, duration_s=LASTS_S, directory=directory))


# Guards against faults that only real processes, sockets and signals show.
# Checks that depend on the speed of the machine are left to manual soak runs.
@pytest.mark.parametrize("seed", [1, 14])
def test_short_soak_keeps_all_guarantees(tmp_path: Path, seed: int) -> None:
    run = _play(seed, tmp_path)
    assert run.failures(timed=False) == {}
    assert sum(result.status == 200 for result in run.responses) > 100


# Guards against entry VMs that apply an older configuration than acknowledged.
# An entry VM with a slow link to the store fetches even a large configuration
# from its peers.
def test_new_configuration_is_applied_in_time(tmp_path: Path) -> None:
    run = _play(108, tmp_path)
    assert run.failures(timed=False) == {}
    assert "configurations in force" not in run.failures()
    asked = Counter(
        result.status for result in run.responses if result.path.startswith("/new-")
    )
    assert asked[200] > 20
    assert asked[404] > 0


# Guards against entry VMs that each send a server what it accepts from all of
# them, as they hear each other over real sockets and restart.
def test_rate_limits_of_servers_hold_over_all_entry_vms(tmp_path: Path) -> None:
    run = _play(2, tmp_path)
    assert run.failures(timed=False) == {}
    assert "rate limits of servers" not in run.failures()
    assert any(limit.told_s for limit in run.fleet.request_log.limits)


# Guards against streams with events of two software versions, and against ending
# those that could go on, as callers take them up at other entry VMs while these are
# killed and servers are upgraded and downgraded.
def test_streams_keep_their_software_version(tmp_path: Path) -> None:
    run = asyncio.run(
        soak(3, duration_s=LASTS_S, mixes_versions=True, directory=tmp_path)
    )
    assert run.failures(timed=False) == {}
    taken_up = [
        stream for stream in run.streams if any(a.continues for a in stream.attempts)
    ]
    assert len(taken_up) > 20
    versions = {v for stream in taken_up for v in stream.caller.software_versions}
    assert len(versions) == 2


# Guards against causes of crashes that go on to one server after the other, as
# machines vanish with their servers, entry VMs start again and callers leave.
def test_a_cause_of_crashes_is_known_while_other_faults_overlap(
    tmp_path: Path,
) -> None:
    run = asyncio.run(
        soak(1103, duration_s=14.0, repeats_crashing=True, directory=tmp_path)
    )
    assert run.failures(timed=False) == {}
    assert "no work for a known cause of crashes" not in run.failures()
    assert run.fleet.request_log.crash_times_s
