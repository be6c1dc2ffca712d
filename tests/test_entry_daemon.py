"""The daemon of one entry VM: what it does before it serves."""

import gc

from rosepath.entry_daemon import _import_entry_node


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
