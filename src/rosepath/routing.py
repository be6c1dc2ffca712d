"""Choose the replica with the least predicted time to the first token."""

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from rosepath.rendezvous import ranked
from rosepath.tables import Replica

REMOTE_PENALTY_S = 0.02
PREFILL_PER_LOAD_S = 0.004
UNKNOWN_LOAD_PENALTY_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingPolicy:
    """Limits on the load imbalance that prefix affinity may cause.

    A replica is chosen for affinity only while this entry VM's requests on it
    stay below `affinity_slack` times the mean of all candidates, and its load
    below `affinity_share_of_slots` of its slots.
    """

    affinity_slack: float = 1.25
    affinity_share_of_slots: float = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingRequest:
    """The properties of a request that the choice of a replica depends on.

    `prefix_home` is the replica that last received the request's prefix.
    """

    target: str
    data_centre: str
    prefix_home: str | None = None
    prefix_key: str = ""
    tried: frozenset[str] = frozenset()


def predicted_first_token_s(replica: Replica, data_centre: str) -> float:
    """Predict the time to the first token from load and slot times."""
    load = replica.load()
    queue_excess = max(0.0, load + 1 - replica.slots)
    wait_s = queue_excess * replica.mean_hold_s / max(1, replica.slots)
    wait_s += load * PREFILL_PER_LOAD_S
    if replica.data_centre != data_centre:
        wait_s += REMOTE_PENALTY_S
    if replica.reported_at_s is None:
        wait_s += UNKNOWN_LOAD_PENALTY_S
    return wait_s


def usable(replica: Replica, target: str) -> bool:
    """Return whether a replica accepts new requests for a target."""
    return replica.reachable and not replica.leaving and target in replica.resident


def has_capacity_elsewhere(
    replicas: Iterable[Replica], target: str, *, excluded: Collection[str]
) -> bool:
    """Return whether a replica that is not excluded has a free slot."""
    return any(
        usable(replica, target)
        and replica.name not in excluded
        and replica.load() < replica.slots
        for replica in replicas
    )


def choose_replica(
    replicas: Iterable[Replica],
    request: RoutingRequest,
    policy: RoutingPolicy,
    *,
    now_s: float,
    rng: random.Random,
) -> Replica | None:
    """Choose a replica for a request; return None if none can serve it."""
    candidates = [
        replica
        for replica in replicas
        if replica.name not in request.tried
        and usable(replica, request.target)
        and replica.backoff_until_s <= now_s
    ]
    if not candidates:
        return None
    # Recently failed replicas are used only if no other is left, but are not
    # removed: if all have failed, one of them may still serve the request.
    # The same holds for a draining replica, which may for a while be the only
    # one with the model loaded.
    not_draining = [
        replica for replica in candidates if not replica.draining
    ] or candidates
    healthy = [replica for replica in not_draining if replica.suspect_until_s <= now_s]
    pool = healthy or not_draining
    affinity_replica = _affinity_replica(pool, request, policy)
    if affinity_replica is not None:
        return affinity_replica
    return min(
        pool,
        key=lambda replica: (
            predicted_first_token_s(replica, request.data_centre),
            rng.random(),
        ),
    )


def _affinity_replica(
    pool: Sequence[Replica],
    request: RoutingRequest,
    policy: RoutingPolicy,
) -> Replica | None:
    """Return the replica with the prefix cached unless its load is too high.

    The limit applies to this entry VM's own requests: all entry VMs choose
    the same replica for a prefix, and load reports arrive too late to keep
    their combined load within a limit.
    """
    if not request.prefix_key and request.prefix_home is None:
        return None
    by_name = {replica.name: replica for replica in pool}
    mean = sum(replica.own_in_flight for replica in pool) / len(pool)
    bound = max(1.0, policy.affinity_slack * mean)
    names = [request.prefix_home] if request.prefix_home in by_name else []
    if request.prefix_key:
        names += ranked(request.prefix_key, by_name)[:2]
    for name in names:
        affinity_replica = by_name[name] if name else None
        if affinity_replica is None or affinity_replica.own_in_flight >= bound:
            continue
        if (
            affinity_replica.load() + 1
            <= policy.affinity_share_of_slots * affinity_replica.slots
        ):
            return affinity_replica
    return None


SUSPECT_BASE_S = 1.0
SUSPECT_MAX_S = 30.0


def note_failure(replica: Replica, *, now_s: float) -> None:
    """Deprioritise a replica, with exponential backoff."""
    replica.failures += 1
    backoff_s = SUSPECT_BASE_S * 2 ** min(replica.failures - 1, 5)
    replica.suspect_until_s = now_s + min(backoff_s, SUSPECT_MAX_S)


def note_success(replica: Replica, *, held_s: float) -> None:
    """Reset the failure count and update the mean slot time."""
    replica.failures = 0
    replica.suspect_until_s = 0.0
    replica.mean_hold_s += 0.1 * (held_s - replica.mean_hold_s)
