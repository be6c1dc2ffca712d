"""Tests of the watch policies, with and without messages that cover a VM."""

import pytest

from rosepath.watch_policy import (
    READ_TIME_S,
    WatchConditions,
    catalog_watch_policy,
    servers_watch_policy,
)

sizes = pytest.mark.parametrize(("large_fleet", "drain_s"), [(False, 2.0), (True, 3.0)])
FRESH_S = 0.1
# A failed read takes up to the call timeout.
FAILED_READ_S = 0.5


@sizes
def test_missing_messages_of_the_lease_holder_are_detected_within_the_drain_time(
    large_fleet: bool, drain_s: float
) -> None:
    # A server leaves as the lease holder dies. A VM that relies on its last
    # message for too long sends requests to a server that has stopped.
    last_s = 0.0
    for age_s in (step * 0.05 for step in range(200)):
        if WatchConditions(
            staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=age_s
        ).covered:
            last_s = age_s
    uncovered = servers_watch_policy(
        WatchConditions(staleness_limit_s=drain_s, large_fleet=large_fleet)
    )
    assert last_s + READ_TIME_S <= drain_s
    assert uncovered.gather_s + uncovered.wait_s + FAILED_READ_S < drain_s


@sizes
def test_only_vms_covered_by_messages_use_relaxed_watches(
    large_fleet: bool, drain_s: float
) -> None:
    # A relaxed watch may return a departure seconds late. No VM may rely on it
    # for what the lease holder's messages do not cover.
    covered = WatchConditions(
        staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=FRESH_S
    )
    uncovered = WatchConditions(
        staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=drain_s
    )
    assert (
        servers_watch_policy(covered).relaxed and catalog_watch_policy(covered).relaxed
    )
    assert (
        not servers_watch_policy(uncovered).relaxed
        and not catalog_watch_policy(uncovered).relaxed
    )


@pytest.mark.parametrize("staleness_limit_s", [2.0, 3.0, 4.0])
def test_the_lease_holders_messages_always_cover_a_large_cluster(
    staleness_limit_s: float,
) -> None:
    # With 91 VMs, limits of 2 s and messages each 0.8 s, the message was too
    # old half of the time: all VMs watched the store themselves, with 118
    # calls a second.
    interval_s = 0.8
    holding = WatchConditions(
        staleness_limit_s=staleness_limit_s, message_interval_s=interval_s
    )
    oldest_s = catalog_watch_policy(holding).wait_s + interval_s
    assert WatchConditions(
        staleness_limit_s=staleness_limit_s, large_fleet=True, reported_age_s=oldest_s
    ).covered


@sizes
def test_messages_of_a_lease_holder_without_the_store_replace_no_calls(
    large_fleet: bool, drain_s: float
) -> None:
    stale = WatchConditions(
        staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=drain_s
    )
    uncovered = WatchConditions(staleness_limit_s=drain_s, large_fleet=large_fleet)
    assert servers_watch_policy(stale) == servers_watch_policy(uncovered)


@sizes
def test_configuration_changes_are_not_delayed_for_batching(
    large_fleet: bool, drain_s: float
) -> None:
    # Versions came every third of a second. Batched for eight seconds as the
    # servers' entries are, the next one took effect long after its deadline.
    covered = WatchConditions(
        staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=FRESH_S
    )
    assert catalog_watch_policy(covered).gather_s <= 0.25


@sizes
def test_the_next_watch_begins_within_the_stores_history(
    large_fleet: bool, drain_s: float
) -> None:
    covered = WatchConditions(
        staleness_limit_s=drain_s, large_fleet=large_fleet, reported_age_s=FRESH_S
    )
    for policy in (servers_watch_policy(covered), catalog_watch_policy(covered)):
        assert policy.gather_s + policy.wait_s < 20.0
