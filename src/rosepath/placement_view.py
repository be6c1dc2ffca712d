"""Build the planner's view from ledgers, reports and load rows."""

from collections.abc import Mapping

from rosepath.configuration import Configuration
from rosepath.engine_keeper import EngineRow
from rosepath.ledger import promised_bytes
from rosepath.placement_types import EngineView, PlacementView
from rosepath.tables import MoveAction, Replica, Tables

REMOTE_STALE_S = 30.0


def build_view(
    configuration: Configuration,
    tables: Tables,
    rows: Mapping[str, EngineRow],
    anchors: Mapping[str, str],
    *,
    now_s: float,
) -> PlacementView:
    """View own engines by their rows, the others by gossip."""
    adapters: dict[str, dict[str, int]] = {}
    for target, adapter in configuration.adapter_targets.items():
        adapters.setdefault(adapter.model, {})[target] = adapter.memory_bytes
    engines = {}
    for name in configuration.engines:
        replica = tables.replicas.get(name)
        if replica is None:
            continue
        if name in rows:
            view = own_view(rows[name], replica)
        else:
            view = remote_view(replica, configuration, now_s=now_s)
        view.draining |= name in configuration.table("drain")
        engines[name] = view
    return PlacementView(
        engines=engines,
        artifacts=configuration.artifacts,
        adapters=adapters,
        anchors=anchors,
        demand=dict(tables.demand),
        pins={name: model.pinned_to for name, model in configuration.models.items()},
    )


def own_view(row: EngineRow, replica: Replica) -> EngineView:
    """View an engine of this data centre.

    One that is not claimed yet has no room, but what it holds counts: were
    it unusable, a takeover would move all of its models.
    """
    report = row.report
    if report is None:
        return EngineView(
            name=row.name,
            data_centre=replica.data_centre,
            memory_bytes=replica.memory_bytes,
            free_bytes=0,
            slots=replica.slots,
            usable=False,
        )
    unloading = report.closing | {
        target
        for target, held in row.ledger.reservations.items()
        if held.action is MoveAction.UNLOAD
    }
    ready = frozenset(report.engine.resident)
    promised = promised_bytes(row.ledger, report.engine)
    return EngineView(
        name=row.name,
        data_centre=replica.data_centre,
        memory_bytes=report.engine.memory_bytes,
        free_bytes=report.engine.memory_bytes - promised if row.claimed else 0,
        slots=report.slots,
        draining=replica.leaving or report.engine.leaving,
        ready=ready,
        coming=frozenset(row.ledger.reservations) - ready - unloading,
        leaving_targets=frozenset(unloading),
    )


def remote_view(
    replica: Replica, configuration: Configuration, *, now_s: float
) -> EngineView:
    """View an engine of another data centre by its gossiped load row."""
    sizes = {
        **configuration.artifacts,
        **{t: a.memory_bytes for t, a in configuration.adapter_targets.items()},
    }
    # Silence is no proof of loss: a data centre that just started, or whose
    # reports are on their way, keeps its copies until it is silent for long.
    heard_at_s = replica.reported_at_s or replica.known_since_s
    used = sum(sizes.get(target, 0) for target in replica.resident)
    return EngineView(
        name=replica.name,
        data_centre=replica.data_centre,
        memory_bytes=replica.memory_bytes,
        free_bytes=replica.memory_bytes - used,
        slots=replica.slots,
        usable=replica.reachable and now_s - heard_at_s < REMOTE_STALE_S,
        draining=replica.leaving,
        ready=replica.resident,
    )
