"""The sum of all VMs' shares never exceeds a limit, whatever fails."""

import asyncio

import pytest
from builders import operation
from fakes import FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.limits import LimitRow, apply_limits, lend, take_rate_tokens
from rosepath.share_keeper import LEDGER_NAME, ShareKeeper
from rosepath.shares import UNITS, ShareLedger, allowance, decode_ledger, encode_ledger

NAMES = ("a", "b", "c", "d")


@given(st.integers(1, 5000), st.lists(st.sampled_from(NAMES), min_size=1, max_size=40))
def test_any_split_of_units_sums_to_the_limit(limit: int, parts: list[str]) -> None:
    holders = [parts[u % len(parts)] for u in range(UNITS)]
    ledger = ShareLedger(tuple(holders))
    total = sum(allowance(limit, ledger.units_of(name)) for name in set(holders))
    assert total == limit


step = st.tuples(
    st.sampled_from(NAMES),
    st.sets(st.sampled_from(NAMES), min_size=1),
    st.sampled_from(["ok", "lose", "down", "busy"]),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(step, max_size=40))
def test_no_unit_is_in_effect_on_two_nodes(
    steps: list[tuple[str, set[str], str]],
) -> None:
    # VMs join, fail, disagree about which VMs are alive, and lose the
    # store's replies or the store itself, in any order. Each VM acts on its
    # own stale view of the ledger.
    async def run() -> None:
        platform = FakePlatform()
        keepers = {name: ShareKeeper(platform, me=name) for name in NAMES}
        for name, live, fault in steps:
            platform.down = fault == "down"
            if fault == "lose":
                platform.lose_replies(LEDGER_NAME, 1)
            keeper = keepers[name]
            try:
                await keeper.refresh()
            except Exception:
                pass
            await _step(keeper, frozenset(live | {name}), busy=fault == "busy")
            platform.down = False
            held = [unit for k in keepers.values() for unit in k.units]
            assert len(held) == len(set(held))

    asyncio.run(run())


async def _step(keeper: ShareKeeper, live: frozenset[str], *, busy: bool) -> None:
    try:
        await keeper.step(
            live=live, removed=frozenset(), apply_reduced=lambda _: not busy
        )
    except Exception as error:
        assert type(error).__name__ == "StoreError"


@pytest.mark.parametrize("count", [2, 4, 64])
def test_nodes_converge_on_fair_shares(count: int) -> None:
    async def run() -> None:
        platform = FakePlatform()
        names = [f"n{n}" for n in range(count)]
        keepers = [ShareKeeper(platform, me=name) for name in names]
        live = frozenset(names)
        for _ in range(20):
            for keeper in keepers:
                await keeper.refresh()
                await keeper.step(
                    live=live, removed=frozenset(), apply_reduced=lambda _: True
                )
        counts = [len(keeper.units) for keeper in keepers]
        assert sum(counts) == UNITS
        assert min(counts) >= UNITS // count // 2

    asyncio.run(run())


def test_units_of_a_removed_vm_are_acquired_by_another() -> None:
    async def run() -> None:
        platform = FakePlatform()
        first, second = (ShareKeeper(platform, me=name) for name in ("a", "b"))
        await first.step(
            live=frozenset("a"), removed=frozenset(), apply_reduced=lambda _: True
        )
        await second.refresh()
        await second.step(
            live=frozenset("b"), removed=frozenset("a"), apply_reduced=lambda _: True
        )
        assert len(second.units) == UNITS

    asyncio.run(run())


@given(st.binary(max_size=100))
def test_the_ledger_decoder_accepts_any_bytes(data: bytes) -> None:
    decode_ledger(data)


def test_the_ledger_round_trips_through_its_encoding() -> None:
    ledger = ShareLedger(tuple("ab"[u % 2] for u in range(UNITS)))
    assert decode_ledger(encode_ledger(ledger)).ok == ledger


def limit_rows(units: frozenset[int], **fields: object) -> dict[str, LimitRow]:
    rows: dict[str, LimitRow] = {}
    limit = operation("limit", "l", **fields).declaration
    apply_limits(rows, {"l": limit}, units)
    return rows


def test_a_lent_slot_counts_until_returned() -> None:
    row = limit_rows(frozenset(range(UNITS)), concurrency=2)["l"]
    row.own_requests.add("x")
    assert lend(row, borrower="b", request_id="y")
    assert lend(row, borrower="b", request_id="y")
    assert not lend(row, borrower="b", request_id="z")


def test_a_node_without_units_admits_nothing() -> None:
    row = limit_rows(frozenset(), concurrency=5, rate_per_s=5)["l"]
    assert row.full
    assert take_rate_tokens([row], now_s=0.0) is not None


def test_a_rate_bucket_starts_empty_so_that_a_transferred_share_is_not_used_twice() -> (
    None
):
    row = limit_rows(frozenset(range(UNITS)), rate_per_s=10)["l"]
    allowed = sum(take_rate_tokens([row], now_s=n / 100) is None for n in range(101))
    assert allowed <= 10
