"""What this entry VM believes each engine has kept of prompts."""

from collections import OrderedDict

from rosepath.caller_call import Prompt
from rosepath.fleet import BackendServer

# Beliefs kept an engine; the engines' memory holds fewer parts than this.
MAX_PARTS_PER_ENGINE = 400


class PromptCaches:
    """Remember which parts of prompts were read where, newest last.

    An engine keeps a part only with all parts before it, so the count stops
    at the first that is not believed to be there.
    """

    def __init__(self) -> None:
        self._parts_by_engine: dict[str, OrderedDict[tuple[str, str], None]] = {}

    def cached_tokens(self, server: BackendServer, prompt: Prompt) -> int:
        """Return the tokens of a prompt that an engine likely has."""
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
        """Note that an engine reads a prompt now."""
        kept = self._parts_by_engine.setdefault(server.name, OrderedDict())
        for part in prompt.parts:
            kept[(prompt.target, part.part_id)] = None
            kept.move_to_end((prompt.target, part.part_id))
        while len(kept) > MAX_PARTS_PER_ENGINE:
            kept.popitem(last=False)

    def forget_model(self, server: str, model: str) -> None:
        """Note that an engine dropped a model, and its prompts with it."""
        kept = self._parts_by_engine.get(server)
        if kept is None:
            return
        for key in [key for key in kept if key[0].partition("/")[0] == model]:
            del kept[key]

    def forget(self, server: str) -> None:
        """Note that an engine is gone."""
        self._parts_by_engine.pop(server, None)
