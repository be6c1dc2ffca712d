"""Build the planner's view from ledgers, engine reports and gossip."""

from collections.abc import Mapping

from rosepath.configuration import Configuration
from rosepath.engine_keeper import EngineRow
from rosepath.ledger import committed_bytes
from rosepath.placement_types import EngineView, PlacementView
from rosepath.tables import MoveAction, Replica, Tables

REMOTE_REPORT_MAX_AGE_S = 30.0


def build_view(
    configuration: Configuration,
    tables: Tables,
    rows: Mapping[str, EngineRow],
    anchors: Mapping[str, str],
    *,
    now_s: float,
) -> PlacementView:
    """View engines of this data centre by their rows, others by gossip."""
    adapters: dict[str, dict[str, int]] = {}
    for target, adapter in configuration.adapter_targets.items():
        adapters.setdefault(adapter.model, {})[target] = adapter.memory_bytes
    engines = {}
    for name in configuration.engines:
        replica = tables.replicas.get(name)
        if replica is None:
            continue
        if name in rows:
            view = local_engine_view(rows[name], replica)
        else:
            view = remote_engine_view(replica, configuration, now_s=now_s)
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


def local_engine_view(row: EngineRow, replica: Replica) -> EngineView:
    """View an engine of this data centre by its ledger and report.

    An engine that is not claimed yet has no free memory, but its resident
    models count. If it were unusable, each takeover of the lease would move
    all of its models to other engines.
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
        for target, reservation in row.ledger.reservations.items()
        if reservation.action is MoveAction.UNLOAD
    }
    ready = frozenset(report.engine.resident)
    committed = committed_bytes(row.ledger, report.engine)
    return EngineView(
        name=row.name,
        data_centre=replica.data_centre,
        memory_bytes=report.engine.memory_bytes,
        free_bytes=report.engine.memory_bytes - committed if row.claimed else 0,
        slots=report.slots,
        draining=replica.leaving or report.engine.leaving,
        ready=ready,
        pending=frozenset(row.ledger.reservations) - ready - unloading,
        unloading_targets=frozenset(unloading),
    )


def remote_engine_view(
    replica: Replica, configuration: Configuration, *, now_s: float
) -> EngineView:
    """View an engine of another data centre by its gossiped load report."""
    sizes = {
        **configuration.artifacts,
        **{t: a.memory_bytes for t, a in configuration.adapter_targets.items()},
    }
    # A missing report does not prove that the copies are lost: the data centre
    # may have just started. Its copies count until the last report, or the
    # creation of the row, is REMOTE_REPORT_MAX_AGE_S old.
    last_report_at_s = replica.reported_at_s or replica.first_seen_s
    used = sum(sizes.get(target, 0) for target in replica.resident)
    return EngineView(
        name=replica.name,
        data_centre=replica.data_centre,
        memory_bytes=replica.memory_bytes,
        free_bytes=replica.memory_bytes - used,
        slots=replica.slots,
        usable=replica.reachable and now_s - last_report_at_s < REMOTE_REPORT_MAX_AGE_S,
        draining=replica.leaving,
        ready=replica.resident,
    )
