"""Which engine takes a generation: least predicted time to the first token."""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from rosepath.caller_call import Prompt
from rosepath.fleet import BackendServer
from rosepath.rendezvous import ranked
from rosepath.server_choice import trusted

# Tokens of a prompt that an engine reads in a second, to begin with; learned
# from first tokens since.
READ_TOKENS_PER_S = 30_000.0
REMOTE_PENALTY_S = 0.002
# What failed has to be read again elsewhere, after the time that it took.
ERROR_PENALTY_S = 1.0
# Getting an adapter there takes a question, an order and its loading, and one
# of the engine's few places, which cost more the fewer are left.
ADAPTER_PENALTY_S = 0.03
PLACE_PENALTY_S = 0.12
# An engine that loads a model, or whose places are all in use, takes no other
# adapter for about so long.
OCCUPIED_PENALTY_S = 1.0
# Each request in an engine's batch delays the others' tokens a little.
BATCH_PENALTY_S = 0.004


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineChoice:
    """Hold the engine chosen and what it is expected to take."""

    server: BackendServer
    unread_tokens: int
    first_token_s: float


def prompt_home_key(prompt: Prompt) -> str:
    """Return the key by which requests with a common prompt meet."""
    shared = prompt.parts[:-1]
    return f"{prompt.target}#{shared[-1].part_id if shared else ''}"


def holds_adapter(server: BackendServer, prompt: Prompt) -> bool:
    """Tell whether an engine that holds a prompt's model has its adapter."""
    return not prompt.adapter or prompt.adapter in server.held[prompt.model]


def adapter_wait_s(engine: BackendServer, *, adapter_slots: int, now_s: float) -> float:
    """Return what it takes to get one more adapter onto an engine."""
    used = sum("/" in target for target in engine.targets_in_use)
    if engine.ordering_until_s > now_s or used >= adapter_slots:
        return OCCUPIED_PENALTY_S
    return ADAPTER_PENALTY_S + PLACE_PENALTY_S * used / adapter_slots


def has_place(
    engine: BackendServer, prompt: Prompt, *, adapter_slots: int, now_s: float
) -> bool:
    """Tell whether an engine is known to have a place for a generation."""
    if prompt.model not in engine.held or engine.requests >= engine.entry.slots:
        return False
    if holds_adapter(engine, prompt):
        return True
    wait_s = adapter_wait_s(engine, adapter_slots=adapter_slots, now_s=now_s)
    return wait_s < OCCUPIED_PENALTY_S


def choose_engine(
    engines: Iterable[BackendServer],
    prompt: Prompt,
    *,
    adapter_slots: int,
    data_centre: str,
    tried: Collection[str],
    cut_off: Collection[str],
    now_s: float,
    cached_tokens: Callable[[BackendServer, Prompt], int],
    rng: random.Random,
) -> EngineChoice | None:
    """Choose among the engines that hold the prompt's model."""
    able = [
        engine
        for engine in engines
        if engine.takes_work(now_s)
        and engine.name not in tried
        and prompt.model in engine.held
    ]
    candidates = trusted(able, cut_off=cut_off, now_s=now_s) or able
    pool = {engine.name: engine for engine in candidates}
    if not pool:
        return None
    order = ranked(prompt_home_key(prompt), pool)
    best: EngineChoice | None = None
    best_key: tuple[float, float] | None = None
    for place, name in enumerate(order):
        engine = pool[name]
        unread = max(0, prompt.input_tokens - cached_tokens(engine, prompt))
        first_token_s = (engine.unread_tokens + unread) / READ_TOKENS_PER_S
        first_token_s += engine.requests * BATCH_PENALTY_S
        if engine.entry.data_centre != data_centre:
            first_token_s += REMOTE_PENALTY_S
        if not holds_adapter(engine, prompt):
            first_token_s += adapter_wait_s(
                engine, adapter_slots=adapter_slots, now_s=now_s
            )
        first_token_s += ERROR_PENALTY_S * engine.error_share
        # Where nothing is cached yet, all VMs should build the cache in the
        # same place: the first in rank wins unless it is clearly busier.
        cost_s = first_token_s + 0.01 * min(place, 3)
        key = (cost_s, rng.random())
        if best_key is None or key < best_key:
            best_key = key
            best = EngineChoice(
                server=engine, unread_tokens=unread, first_token_s=first_token_s
            )
    return best
