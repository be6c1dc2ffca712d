"""Callers of entry VMs that lose their links to all backend servers."""

import asyncio
from pathlib import Path

import pytest
from partitioned_fleet import Cut, PartitionedFleet, partitioned_fleet

ROUNDS = 12
# Callers of partitioned VMs are served at the first attempt at least this
# often, relative to callers of the others.
MIN_SERVED_RATIO = 2 / 3


async def served_ratio(fleet: PartitionedFleet, cut_vms: list[str]) -> float:
    """Return the share served at the cut VMs, relative to the other VMs."""
    served: dict[bool, int] = {True: 0, False: 0}
    sent: dict[bool, int] = {True: 0, False: 0}
    names = list(fleet.nodes)
    results = await asyncio.gather(
        *(fleet.send_all(name, rounds=ROUNDS) for name in names)
    )
    for name, statuses in zip(names, results, strict=True):
        served[name in cut_vms] += statuses[200]
        sent[name in cut_vms] += statuses.total()
    return (served[True] / sent[True]) / (served[False] / sent[False])


# Guards against refusing callers of an entry VM that reaches no server while
# its peers reach all of them.
@pytest.mark.parametrize("cut", list(Cut))
def test_a_partitioned_vm_serves_its_callers_through_peers(
    tmp_path: Path, cut: Cut
) -> None:
    async def run() -> None:
        async with partitioned_fleet(tmp_path, "a", "a", "b") as fleet:
            await fleet.send("vm-0", "look")
            fleet.links["vm-0"].fail(cut)
            assert await served_ratio(fleet, ["vm-0"]) >= MIN_SERVED_RATIO

    asyncio.run(run())


# Guards against looking for a way to the servers only within the data centre.
def test_a_partitioned_data_centre_is_served_through_another(tmp_path: Path) -> None:
    async def run() -> None:
        async with partitioned_fleet(tmp_path, "a", "a", "b") as fleet:
            for name in ("vm-0", "vm-1"):
                fleet.links[name].fail(Cut.RESET)
            assert await served_ratio(fleet, ["vm-0", "vm-1"]) >= MIN_SERVED_RATIO

    asyncio.run(run())


# Guards against blaming the requests in flight for a crash of their servers
# when only this VM's connections were reset.
def test_runs_lost_with_the_links_to_all_servers_are_no_crashes(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with partitioned_fleet(tmp_path, "a", "a", "b") as fleet:
            links, node = fleet.links["vm-0"], fleet.nodes["vm-0"]
            sending = [
                asyncio.ensure_future(fleet.send("vm-0", kind))
                for kind in ("look", "file", "draft") * 2
            ]
            async with asyncio.timeout(5.0):
                while len(node.gateway.serving) < len(sending):  # noqa: ASYNC110
                    await asyncio.sleep(0)
                while len(links.connections) < len(sending):  # noqa: ASYNC110
                    await asyncio.sleep(0)
            links.fail(Cut.RESET)
            await asyncio.gather(*sending)
            assert {
                name: len(vm.crashes.records) for name, vm in fleet.nodes.items()
            } == dict.fromkeys(fleet.nodes, 0)

    asyncio.run(run())


# Guards against a fleet whose engines get no orders because the VM that may
# send them cannot reach one.
def test_a_partitioned_holder_leaves_the_placement_lease_to_another_vm(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with partitioned_fleet(tmp_path, "a", "a", "b") as fleet:
            async with asyncio.timeout(10.0):
                first = await fleet.wait_for_lease_holder()
                fleet.links[first].fail(Cut.RESET)
                while await fleet.wait_for_lease_holder() == first:
                    await fleet.send_all(first, rounds=1)
            assert fleet.nodes[first].paths.partitioned

    asyncio.run(run())
