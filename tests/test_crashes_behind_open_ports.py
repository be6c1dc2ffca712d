"""Servers that crash while something still accepts connections at their address."""

import asyncio
from pathlib import Path

import pytest
from crashing_fleet import CrashScenario

from rosepath_standins.entry_fleet import (
    CRASHING_HEADERS,
    CRASHING_PART,
    PortAfterCrash,
)

# Under a supervisor that starts the next process at once.
QUICK_RESTART_AFTER_S = 0.1
# How often a cause of crashes may still reach servers once it is known.
MAX_LATE_SENDS = 3
ports = pytest.mark.parametrize(
    "port",
    [PortAfterCrash.CLOSED, PortAfterCrash.ENDS_CONNECTIONS, PortAfterCrash.HANGS],
)


# Guards against taking an accepted connection for proof that a server did not
# crash, so that a request goes on to crash one server after the other.
@ports
def test_a_request_that_crashes_servers_is_known_whatever_their_ports_do(
    tmp_path: Path, port: PortAfterCrash
) -> None:
    late = asyncio.run(CrashScenario(port=port).late_sends(tmp_path))
    assert late <= MAX_LATE_SENDS


# Guards against taking the answer of the next process for that of the one that
# crashed.
def test_a_request_that_crashes_servers_is_known_as_they_start_again_at_once(
    tmp_path: Path,
) -> None:
    scenario = CrashScenario(
        port=PortAfterCrash.HANGS, restart_after_s=QUICK_RESTART_AFTER_S
    )
    assert asyncio.run(scenario.late_sends(tmp_path)) <= MAX_LATE_SENDS


# Guards against the same for a part of prompts, each time in another request.
@ports
def test_a_part_of_prompts_that_crashes_servers_is_known_whatever_their_ports_do(
    tmp_path: Path, port: PortAfterCrash
) -> None:
    scenario = CrashScenario(
        port=port, cause=CRASHING_PART, known_after=5, headers=CRASHING_HEADERS
    )
    assert asyncio.run(scenario.late_sends(tmp_path)) <= MAX_LATE_SENDS
