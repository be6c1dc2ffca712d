"""The daemon of one entry VM: what it does before it serves."""

import gc
import signal
import sys
from types import SimpleNamespace
from typing import Any

import pytest

from rosepath import entry_daemon
from rosepath.entry_process import _import_entry_node


# Guards against entry VMs that collect no garbage, or collect it among the modules
# that they keep.
def test_modules_are_exempt_from_collection_and_nothing_else_is() -> None:
    gc.unfreeze()
    try:
        entry_node = _import_entry_node()
        assert entry_node.__name__ == "EntryNode"
        assert gc.get_freeze_count() > 0
        assert gc.isenabled()
        cycle: list[object] = []
        cycle.append(cycle)
        assert any(known is cycle for known in gc.get_objects())
    finally:
        gc.unfreeze()


# Guards against an entry VM that is ended by a reload signal while it starts.
def test_a_reload_signal_does_not_end_a_starting_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    during_start: list[Any] = []

    def run_command_line() -> None:
        during_start.append(signal.getsignal(signal.SIGHUP))

    stand_in = SimpleNamespace(main=run_command_line)
    monkeypatch.setitem(sys.modules, "rosepath.entry_process", stand_in)
    before = signal.getsignal(signal.SIGHUP)
    try:
        entry_daemon.main()
    finally:
        signal.signal(signal.SIGHUP, before)
    assert during_start == [signal.SIG_IGN]
