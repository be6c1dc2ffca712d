"""Predict how long a stream pauses while its engine prefills prompts."""

from dataclasses import dataclass, field

# A pause lasts while the tokens of one event are generated, each beside one chunk
# of a prompt. Until streams show otherwise: five tokens an event, and the largest
# usual chunk, of 2,048 tokens.
PRIOR_PAUSE_TOKENS = 10_240
MIN_PAUSE_TOKENS = 1_024
# A longer pause than expected makes streams late at once, a shorter one may be
# due to prompts that were cached.
RISE_RATE = 0.5
FALL_RATE = 0.1
# A pause after fewer tokens shows the prompt's length, not that of a pause.
MIN_SHOWN_SHARE = 1.2
# Streams that are watched at a time, of all servers of a service.
MAX_STREAMS = 10_000


@dataclass(slots=True, kw_only=True)
class StreamPauses:
    """Own how much a service's engines prefill while a stream pauses.

    `tokens` are the prompt tokens that an engine prefills between two events of a
    stream, at most. They depend on the engine's software, so that all engines of a
    service are taken to have the same.
    """

    tokens: float = PRIOR_PAUSE_TOKENS
    _prefilled: dict[str, int] = field(default_factory=dict)

    def note_prefill(self, request_id: str, tokens: int) -> None:
        """Record how much was prefilled in a row beside a stream."""
        if len(self._prefilled) >= MAX_STREAMS:
            del self._prefilled[next(iter(self._prefilled))]
        known = self._prefilled.pop(request_id, 0)
        self._prefilled[request_id] = max(known, tokens)

    def note_longest_gap(
        self, request_id: str, gap_s: float, *, prefill_tokens_per_s: float
    ) -> None:
        """Learn from the longest gap between the events of a stream that ended."""
        beside = self._prefilled.pop(request_id, 0)
        shown = max(MIN_PAUSE_TOKENS, gap_s * prefill_tokens_per_s)
        if gap_s <= 0 or beside < MIN_SHOWN_SHARE * shown:
            return
        rate = RISE_RATE if shown > self.tokens else FALL_RATE
        self.tokens += rate * (shown - self.tokens)


def pause_s(prefill_s: float, *, longest_s: float) -> float:
    """Return how long streams pause beside so much prefilling in a row."""
    return min(prefill_s, longest_s)
