"""Choose the engine with the shortest predicted time to first token."""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from rosepath.caller_request import Prompt
from rosepath.fleet import BackendServer
from rosepath.rendezvous import ranked
from rosepath.server_choice import healthy_servers
from rosepath.server_pace import PRIOR_PREFILL_TOKENS_PER_S

# Added for an engine in another data centre.
REMOTE_PENALTY_S = 0.002
# A failed request is prefilled again on another engine, on top of the time
# already spent.
ERROR_PENALTY_S = 1.0
# Loading an adapter takes a query, a load order and the load itself, and one
# of the engine's adapter slots. The fewer slots are free, the higher the cost.
ADAPTER_PENALTY_S = 0.03
ADAPTER_SLOT_PENALTY_S = 0.12
# An engine that is loading a model, or whose adapter slots are all in use,
# accepts no further adapter for about this long. An adapter delay of this
# length means that the engine has no capacity for the adapter now.
OCCUPIED_PENALTY_S = 1.0
# Each request in an engine's batch slightly delays the tokens of the others.
BATCH_PENALTY_S = 0.004


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineChoice:
    """Hold the chosen engine and the predicted time to the first token.

    `unread_tokens` are the prompt tokens that the engine must prefill because
    it has not cached them.
    """

    server: BackendServer
    unread_tokens: int
    first_token_s: float


def prefix_affinity_key(prompt: Prompt) -> str:
    """Return the hash key shared by requests with a common prompt prefix."""
    shared = prompt.parts[:-1]
    return f"{prompt.target}#{shared[-1].part_id if shared else ''}"


def holds_adapter(server: BackendServer, prompt: Prompt) -> bool:
    """Return whether an engine with the model has the prompt's adapter."""
    return not prompt.adapter or prompt.adapter in server.resident_models[prompt.model]


def adapter_delay_s(
    engine: BackendServer, *, adapter_slots: int, now_s: float
) -> float:
    """Return the expected delay of loading one more adapter onto an engine."""
    # Adapters are in use as `model/adapter`, base models under their name.
    used = sum("/" in target for target in engine.targets_in_use)
    if engine.order_busy_until_s > now_s or used >= adapter_slots:
        return OCCUPIED_PENALTY_S
    return ADAPTER_PENALTY_S + ADAPTER_SLOT_PENALTY_S * used / adapter_slots


def has_capacity(
    engine: BackendServer, prompt: Prompt, *, adapter_slots: int, now_s: float
) -> bool:
    """Return whether an engine is known to have capacity for a generation."""
    if (
        prompt.model not in engine.resident_models
        or engine.requests >= engine.entry.slots
    ):
        return False
    if holds_adapter(engine, prompt):
        return True
    delay_s = adapter_delay_s(engine, adapter_slots=adapter_slots, now_s=now_s)
    return delay_s < OCCUPIED_PENALTY_S


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
    """Choose among the engines that have the prompt's model.

    `cut_off` names the data centres from which no state messages arrive.
    Their engines, and others that are not healthy, are chosen only if no
    healthy engine has the model.
    """
    eligible = [
        engine
        for engine in engines
        if engine.accepts_requests(now_s)
        and engine.name not in tried
        and prompt.model in engine.resident_models
    ]
    candidates = healthy_servers(eligible, cut_off=cut_off, now_s=now_s) or eligible
    pool = {engine.name: engine for engine in candidates}
    if not pool:
        return None
    ranking = ranked(prefix_affinity_key(prompt), pool)
    best: EngineChoice | None = None
    best_key: tuple[float, float] | None = None
    for rank, name in enumerate(ranking):
        engine = pool[name]
        unread = max(0, prompt.input_tokens - cached_tokens(engine, prompt))
        tokens = engine.unread_tokens + unread
        first_token_s = tokens / PRIOR_PREFILL_TOKENS_PER_S
        first_token_s += engine.requests * BATCH_PENALTY_S
        if engine.entry.data_centre != data_centre:
            first_token_s += REMOTE_PENALTY_S
        if not holds_adapter(engine, prompt):
            first_token_s += adapter_delay_s(
                engine, adapter_slots=adapter_slots, now_s=now_s
            )
        first_token_s += ERROR_PENALTY_S * engine.error_rate
        # While no engine has the prefix cached, all VMs should build the cache
        # on the same engine, so each rank below the first adds a small cost.
        # The first wins unless it is clearly busier.
        cost_s = first_token_s + 0.01 * min(rank, 3)
        key = (cost_s, rng.random())
        if best_key is None or key < best_key:
            best_key = key
            best = EngineChoice(
                server=engine, unread_tokens=unread, first_token_s=first_token_s
            )
    return best
