"""Count what each workspace was served lately, where workspaces compete."""

import math
from collections import Counter
from dataclasses import dataclass, field

from rosepath.assignment import Assignment

# Use counts for about this long. A workspace that was idle saves up no more
# credit than this, and one that had a burst is soon forgiven.
USE_LASTS_S = 5.0
# A workspace is beyond its share above this multiple of the others' mean use,
# since moderate differences in demand are usual.
SHARE_FACTOR = 1.5
# Or when it is above by no more than a few prompts, which is chance.
MIN_EXCESS_TOKENS = 10_000.0
# Decoding a token takes about as long as prefilling several.
OUTPUT_TOKEN_WEIGHT = 2.0
# What a request without a prompt counts.
PLAIN_REQUEST_TOKENS = 2_000.0
# Use below this is forgotten.
MIN_USE_TOKENS = 1.0


def use_tokens(assignment: Assignment) -> float:
    """Return what an assignment counts as use of its workspace."""
    prompt = assignment.request.prompt
    if prompt is None:
        return PLAIN_REQUEST_TOKENS
    return assignment.unread_tokens + OUTPUT_TOKEN_WEIGHT * prompt.output_tokens


@dataclass(slots=True, kw_only=True)
class WorkspaceUse:
    """Own the recent use of the workspaces that compete for the same servers.

    These are virtual token counters that decay instead of being lifted when a
    workspace returns from idle. Requests without a workspace aren't counted.
    """

    waiting: Counter[str] = field(default_factory=Counter)
    _tokens: dict[str, float] = field(default_factory=dict)
    _total_tokens: float = 0.0
    _updated_s: float = -math.inf

    def note_waiting(self, workspace: str, *, step: int) -> None:
        """Count a request that begins or ends to wait."""
        if not workspace:
            return
        self.waiting[workspace] += step
        if self.waiting[workspace] <= 0:
            del self.waiting[workspace]
        else:
            self._tokens.setdefault(workspace, 0.0)

    def note_served(self, workspace: str, tokens: float, *, now_s: float) -> None:
        """Count what a workspace was served."""
        if not workspace:
            return
        self._decay(now_s)
        self._tokens[workspace] = self._tokens.get(workspace, 0.0) + tokens
        self._total_tokens += tokens

    def beyond_share(self, workspace: str) -> bool:
        """Return whether a workspace used far more than the others."""
        others = len(self._tokens) - 1
        if not workspace or others < 1:
            return False
        used = self._tokens.get(workspace, 0.0)
        others_mean = (self._total_tokens - used) / others
        return used > SHARE_FACTOR * others_mean + MIN_EXCESS_TOKENS

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / USE_LASTS_S)
        self._updated_s = now_s
        self._tokens = {
            workspace: tokens * factor
            for workspace, tokens in self._tokens.items()
            if tokens * factor >= MIN_USE_TOKENS or workspace in self.waiting
        }
        self._total_tokens = sum(self._tokens.values())
