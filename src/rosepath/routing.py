"""Which replica takes a request: least predicted time to the first token."""

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
    """Set how much affinity may unbalance the load."""

    affinity_slack: float = 1.25
    affinity_share_of_slots: float = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingRequest:
    """Describe a request as far as the choice depends on it."""

    target: str
    data_centre: str
    prefix_home: str | None = None
    prefix_key: str = ""
    tried: frozenset[str] = frozenset()


def predicted_first_token_s(replica: Replica, data_centre: str) -> float:
    """Predict the wait for the first token from the load and own history."""
    load = replica.load()
    over = max(0.0, load + 1 - replica.slots)
    wait_s = over * replica.hold_s / max(1, replica.slots)
    wait_s += load * PREFILL_PER_LOAD_S
    if replica.data_centre != data_centre:
        wait_s += REMOTE_PENALTY_S
    if replica.reported_at_s is None:
        wait_s += UNKNOWN_LOAD_PENALTY_S
    return wait_s


def usable(replica: Replica, target: str) -> bool:
    """Tell whether a replica may be sent new work for a target."""
    return replica.reachable and not replica.leaving and target in replica.resident


def has_capacity_elsewhere(
    replicas: Iterable[Replica], target: str, *, unfit: Collection[str]
) -> bool:
    """Tell whether a replica that is not unfit has a place for a target."""
    return any(
        usable(replica, target)
        and replica.name not in unfit
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
    """Choose among replicas that can serve; None if there is none."""
    able = [
        replica
        for replica in replicas
        if replica.name not in request.tried
        and usable(replica, request.target)
        and replica.backoff_until_s <= now_s
    ]
    if not able:
        return None
    # A replica that failed lately goes behind the others but stays a
    # candidate: if all of them failed, removing them would refuse requests
    # that one of them could serve.
    # One that is being drained may still hold the only copy for a while.
    staying = [replica for replica in able if not replica.draining] or able
    trusted = [replica for replica in staying if replica.suspect_until_s <= now_s]
    pool = trusted or staying
    home = _affine(pool, request, policy)
    if home is not None:
        return home
    return min(
        pool,
        key=lambda replica: (
            predicted_first_token_s(replica, request.data_centre),
            rng.random(),
        ),
    )


def _affine(
    pool: Sequence[Replica],
    request: RoutingRequest,
    policy: RoutingPolicy,
) -> Replica | None:
    """Return the replica with the prefix unless its load is out of bounds.

    The bound is on this router's own requests: all routers share the same
    home for a prefix, and reports come too late to hold them back together.
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
        home = by_name[name] if name else None
        if home is None or home.own_in_flight >= bound:
            continue
        if home.load() + 1 <= policy.affinity_share_of_slots * home.slots:
            return home
    return None


SUSPECT_BASE_S = 1.0
SUSPECT_MAX_S = 30.0


def note_failure(replica: Replica, *, now_s: float) -> None:
    """Put a replica behind the others for a while, longer each time."""
    replica.failures += 1
    pause_s = SUSPECT_BASE_S * 2 ** min(replica.failures - 1, 5)
    replica.suspect_until_s = now_s + min(pause_s, SUSPECT_MAX_S)


def note_success(replica: Replica, *, held_s: float) -> None:
    """Restore trust and learn how long requests hold a slot."""
    replica.failures = 0
    replica.suspect_until_s = 0.0
    replica.hold_s += 0.1 * (held_s - replica.hold_s)
