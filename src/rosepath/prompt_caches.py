"""Estimate which prompt parts each engine has cached."""

from collections import OrderedDict

from rosepath.caller_request import Prompt
from rosepath.fleet import BackendServer

# Parts remembered per engine; the cache of an engine holds fewer.
MAX_PARTS_PER_ENGINE = 400


class PromptCaches:
    """Own the estimated cache contents of each engine, most recent last.

    An engine caches a part only together with all parts before it, so the
    count of cached tokens stops at the first part that is not remembered.
    """

    def __init__(self) -> None:
        self._parts_by_engine: dict[str, OrderedDict[tuple[str, str], None]] = {}

    def cached_tokens(self, server: BackendServer, prompt: Prompt) -> int:
        """Return the tokens of a prompt that an engine likely has cached."""
        kept = self._parts_by_engine.get(server.name)
        if not kept:
            return 0
        tokens = 0
        for part in prompt.parts:
            if (prompt.target, part.part_id) not in kept:
                break
            tokens += part.tokens
        return min(tokens, prompt.input_tokens)

    def note_read(self, server: BackendServer, prompt: Prompt) -> None:
        """Record that an engine prefills a prompt now."""
        kept = self._parts_by_engine.setdefault(server.name, OrderedDict())
        for part in prompt.parts:
            kept[(prompt.target, part.part_id)] = None
            kept.move_to_end((prompt.target, part.part_id))
        while len(kept) > MAX_PARTS_PER_ENGINE:
            kept.popitem(last=False)

    def forget_model(self, server: str, model: str) -> None:
        """Discard the cached prompts of a model that an engine unloaded."""
        kept = self._parts_by_engine.get(server)
        if kept is None:
            return
        for key in [key for key in kept if key[0].partition("/")[0] == model]:
            del kept[key]

    def forget(self, server: str) -> None:
        """Discard the cached prompts of an engine that is gone."""
        self._parts_by_engine.pop(server, None)
