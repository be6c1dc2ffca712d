"""Configuration versions never decrease and are applied as a whole."""

import asyncio
from itertools import pairwise

from builders import configuration, engine_operation, operation
from fakes import FakePlatform
from hypothesis import given, strategies as st

from rosepath.configuration import (
    Configuration,
    ConfigurationState,
    Head,
    Operation,
    decode_head,
    decode_shard,
    digest,
    encode_head,
    encode_shards,
)
from rosepath.configuration_store import (
    HEAD_NAME,
    ConfigurationStore,
    Invalid,
    ProposedChange,
    VersionConflict,
    next_head,
)
from rosepath.validation import validate


def change(
    *operations: Operation, change_id: str = "c", expected_version: int = 0
) -> ProposedChange:
    return ProposedChange(
        change_id=change_id,
        expected_version=expected_version,
        operator="o",
        at_s=0.0,
        operations=operations,
    )


def build_history(count: int) -> list[tuple[Head, dict[str, bytes]]]:
    """Return heads of consecutive versions, each with all of its shards."""
    head, current = Head(), Configuration()
    history = []
    for number in range(1, count + 1):
        op = operation("model", f"m{number % 3}", memory_bytes=number)
        current = current.with_operations([op], version=number)
        head, _ = next_head(head, current, change(op, change_id=str(number)), ())
        shards = {digest(d): d for d in encode_shards(current).values()}
        history.append((head, shards))
    return history


@given(st.lists(st.integers(0, 9), max_size=40))
def test_version_never_decreases_in_any_order_of_arrival(order: list[int]) -> None:
    history = build_history(10)
    state = ConfigurationState()
    seen = [0]
    for number in order:
        state.apply(*history[number])
        seen.append(state.head.version)
    assert all(a <= b for a, b in pairwise(seen))
    assert state.head.version == max((n + 1 for n in order), default=0)


@given(st.binary(max_size=200))
def test_decoders_accept_any_bytes(data: bytes) -> None:
    decode_head(data)
    decode_shard("model-1", data)
    decode_shard("nonsense", data)


def test_head_without_its_shards_is_not_applied() -> None:
    state = ConfigurationState()
    head, _ = build_history(1)[0]
    assert state.apply(head, {}).is_error()
    assert state.head.version == 0


def test_head_encoding_round_trips() -> None:
    head, _ = build_history(3)[-1]
    assert decode_head(encode_head(head)).ok == head


def test_validation_reports_all_problems() -> None:
    wrong = configuration(
        engine_operation("e1", memory_bytes=50),
        operation("model", "big", memory_bytes=80),
        operation("route", "r", name="x", variants=[{"target": "no", "share": 0.5}]),
    )
    problems = "\n".join(validate(wrong).error)
    assert "30 short" in problems
    assert "shares sum to 0.5" in problems
    assert "'no' is not declared" in problems


def store_of(platform: FakePlatform) -> ConfigurationStore:
    return ConfigurationStore(platform, ConfigurationState())


def test_concurrent_changes_get_one_acceptance_and_one_conflict() -> None:
    async def run() -> None:
        platform = FakePlatform()
        first, second = store_of(platform), store_of(platform)
        model = operation("caller", "a", key_sha256="0" * 64)
        outcomes = await asyncio.gather(
            first.commit(change(model, change_id="a")),
            second.commit(change(model, change_id="b")),
        )
        assert sorted(outcome.is_ok() for outcome in outcomes) == [False, True]
        lost = next(outcome.error for outcome in outcomes if outcome.is_error())
        assert lost == VersionConflict(current_version=1)

    asyncio.run(run())


def test_change_with_lost_reply_is_applied_once() -> None:
    # The head is written but the store's reply is lost. Reading the head again
    # finds the change's id, so the change is reported as accepted.
    async def run() -> None:
        platform = FakePlatform()
        store = store_of(platform)
        platform.lose_replies(HEAD_NAME, 1)
        model = operation("caller", "a", key_sha256="0" * 64)
        accepted = (await store.commit(change(model))).ok
        assert (accepted.version, accepted.already_applied) == (1, True)
        again = (await store.commit(change(model))).ok
        assert (again.version, again.already_applied) == (1, True)

    asyncio.run(run())


def test_on_applied_is_called_for_version_pulled_by_conflicting_change() -> None:
    # A lagging VM pulls the newer version while it handles a change, which
    # then fails with a conflict. Without the callback, its tables would keep
    # the old version until the next change.
    async def run() -> None:
        platform = FakePlatform()
        applied: list[int] = []
        state = ConfigurationState()
        state.on_applied = lambda: applied.append(state.head.version)
        lagging = ConfigurationStore(platform, state)
        caller = operation("caller", "a", key_sha256="0" * 64)
        await store_of(platform).commit(change(caller, change_id="first"))
        outcome = await lagging.commit(change(caller, change_id="second"))
        assert outcome.error == VersionConflict(current_version=1)
        assert applied == [1]

    asyncio.run(run())


def test_invalid_change_writes_no_head() -> None:
    async def run() -> None:
        platform = FakePlatform()
        outcome = await store_of(platform).commit(
            change(operation("adapter", "a", model="none", memory_bytes=1))
        )
        assert isinstance(outcome.error, Invalid)
        assert HEAD_NAME not in platform.objects

    asyncio.run(run())


def test_older_store_does_not_revert_accepted_changes() -> None:
    # Version 2 is in force when the store is restored from a backup of version
    # 1. The VM keeps version 2, sets `store_is_older` and refuses changes.
    async def run() -> None:
        platform = FakePlatform()
        store = store_of(platform)
        await store.commit(change(operation("caller", "a", key_sha256="0" * 64)))
        backup = dict(platform.objects)
        later = operation("caller", "b", key_sha256="1" * 64)
        await store.commit(change(later, change_id="d", expected_version=1))
        platform.objects = backup
        assert not await store.pull()
        assert store.store_is_older
        refused = await store.commit(change(later, change_id="e", expected_version=2))
        assert refused.is_error()

    asyncio.run(run())
