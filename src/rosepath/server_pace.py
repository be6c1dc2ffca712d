"""Learn how fast a backend server works, from what its runs show."""

from dataclasses import dataclass

# Until runs show otherwise.
PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
# The weight of one run in the learned rate: some ten runs replace the prior.
LEARNING_RATE = 0.1
# Shorter readings are dominated by the steps of other requests.
MIN_LEARNED_TOKENS = 1_000
# A stated slowdown holds for about this long.
SLOWDOWN_LASTS_S = 0.6


@dataclass(slots=True, kw_only=True)
class ServerPace:
    """Own the learned pace of one instance of a server."""

    prefill_tokens_per_s: float = PRIOR_PREFILL_TOKENS_PER_S
    slowdown: float = 1.0
    slowdown_stated_s: float = -1e9

    def note_prefill(self, tokens: int, took_s: float) -> None:
        """Learn from a prompt that was prefilled in a known time."""
        if tokens < MIN_LEARNED_TOKENS or took_s <= 0:
            return
        # Averaging the time of a token, not the rate, keeps one very short
        # measurement from dominating.
        token_s = 1.0 / self.prefill_tokens_per_s
        token_s += LEARNING_RATE * (took_s / tokens - token_s)
        self.prefill_tokens_per_s = 1.0 / token_s

    def note_slowdown(self, slowdown: float, *, now_s: float) -> None:
        """Record how long work takes at the server's machine, 1.0 as usual."""
        self.slowdown = slowdown
        self.slowdown_stated_s = now_s

    def current_slowdown(self, now_s: float) -> float:
        """Return the slowdown, 1.0 once it was stated too long ago."""
        recent = now_s - self.slowdown_stated_s < SLOWDOWN_LASTS_S
        return self.slowdown if recent else 1.0

    def prefill_s(self, tokens: int, *, now_s: float) -> float:
        """Return how long the server takes to prefill so many tokens now."""
        return tokens / self.prefill_tokens_per_s * self.current_slowdown(now_s)
