"""Servers whose machines vanish as they crash: nothing closes, connections hang."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from crashing_fleet import CrashScenario

from rosepath_standins.entry_fleet import (
    CRASHING_HEADERS,
    CRASHING_PART,
    PortAfterCrash,
)

# How often a cause of crashes may still reach servers once it is known.
MAX_LATE_SENDS = 3
RESTART_AFTER_S = 4.5
LAPSE_AFTER_S = 3.6
# Before anything shows that the server is gone.
LEAVE_AFTER_S = 0.3
# An entry stays as it is until the server is back, or lapses before.
entries = pytest.mark.parametrize(
    "lapse_after_s", [None, LAPSE_AFTER_S], ids=["stays", "lapses"]
)


REQUEST = CrashScenario(
    port=PortAfterCrash.UNREACHABLE,
    vms=3,
    servers=9,
    sending_s=12.0,
    restart_after_s=RESTART_AFTER_S,
)
# A part of prompts, each time in another request.
PART = replace(REQUEST, cause=CRASHING_PART, known_after=5, headers=CRASHING_HEADERS)


def late_sends(scenario: CrashScenario, directory: Path) -> int:
    return asyncio.run(scenario.late_sends(directory))


# Guards against waiting for a server's entry to tell that it crashed, while the
# request crashes one server after the other.
@entries
def test_a_request_under_which_machines_vanish_is_known(
    tmp_path: Path, lapse_after_s: float | None
) -> None:
    scenario = replace(REQUEST, lapse_after_s=lapse_after_s)
    assert late_sends(scenario, tmp_path) <= MAX_LATE_SENDS


# Guards against the same for a part of prompts. Runs that may not be repeated
# stay at their server until its entry shows the crash.
@entries
@pytest.mark.parametrize("kind", ["draft", "once", "file"])
def test_a_part_of_prompts_under_which_machines_vanish_is_known(
    tmp_path: Path, kind: str, lapse_after_s: float | None
) -> None:
    scenario = replace(PART, kind=kind, lapse_after_s=lapse_after_s)
    assert late_sends(scenario, tmp_path) <= MAX_LATE_SENDS


# Guards against forgetting what ran at a server once its callers have left.
def test_a_request_under_which_machines_vanish_is_known_after_its_callers_left(
    tmp_path: Path,
) -> None:
    scenario = replace(REQUEST, leave_after_s=LEAVE_AFTER_S)
    assert late_sends(scenario, tmp_path) <= MAX_LATE_SENDS


# Guards against the same for a part of prompts.
def test_a_part_under_which_machines_vanish_is_known_after_its_callers_left(
    tmp_path: Path,
) -> None:
    scenario = replace(PART, leave_after_s=LEAVE_AFTER_S)
    assert late_sends(scenario, tmp_path) <= MAX_LATE_SENDS
