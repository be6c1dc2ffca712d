"""Build a scheduler, its fleet and the requests that it assigns."""

from collections.abc import Collection, Iterable

from entry_builders import a_catalog, an_engine_spec, an_entry

from rosepath.assignment import AssignmentRequest, RunOutcome, RunReport
from rosepath.caller_request import Prompt, PromptPart
from rosepath.fleet import Fleet
from rosepath.prompt_caches import PromptCaches
from rosepath.scheduler import Scheduler


def a_long_prompt(model: str = "m0", *, own: str = "own", tokens: int = 9000) -> Prompt:
    """Return a prompt without shared parts."""
    return Prompt(
        model=model,
        input_tokens=tokens,
        output_tokens=50,
        parts=(PromptPart(own, tokens),),
    )


def an_assignment_request(
    request_id: str = "q1",
    *,
    service: str = "llm",
    entry_vm: str = "vm-1",
    data_centre: str = "a",
    arrived_s: float = 0.0,
    target_s: float = 0.5,
    wait_s: float = 2.0,
    deadline_s: float = 8.0,
    gap_s: float = 0.3,
    priority: int = 0,
    workspace: str = "",
    prompt: Prompt | None = None,
    tried: Collection[str] = (),
) -> AssignmentRequest:
    return AssignmentRequest(
        request_id=request_id,
        service=service,
        entry_vm=entry_vm,
        data_centre=data_centre,
        arrived_s=arrived_s,
        due_s=arrived_s + target_s,
        wait_until_s=arrived_s + wait_s,
        deadline_s=arrived_s + deadline_s,
        gap_s=gap_s,
        priority=priority,
        workspace=workspace,
        prompt=prompt,
        tried=frozenset(tried),
    )


def a_scheduler(
    engines: Iterable[str], *, models: Iterable[str] = ("m0",)
) -> Scheduler:
    """Return a scheduler of engines that each hold all the models."""
    fleet = Fleet()
    held = {model: frozenset[str]() for model in models}
    for name in engines:
        fleet.put(an_entry(name, models=held))
    spec = an_engine_spec(*held)
    catalog = a_catalog(engine=spec)
    return Scheduler(fleet=fleet, caches=PromptCaches(), catalog=lambda: catalog)


def a_run_report(
    request_id: str,
    server: str,
    *,
    began_after_s: float | None = None,
    outcome: RunOutcome | None = None,
) -> RunReport:
    return RunReport(
        request_id=request_id,
        server=server,
        began_after_s=began_after_s,
        outcome=outcome,
    )
