"""Own the parts of prompts that are known to crash servers; no I/O."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from rosepath.clock import Clock
from rosepath.crash_report import SETTLE_S, ServerInstance
from rosepath.part_causes import PartCause

# Bounds the time that it takes to look up a request.
MAX_PART_CAUSES = 64


@dataclass(slots=True)
class _KnownCause:
    """Hold a cause, provisional until `confirmed`.

    One that another entry VM told stays without evidence here.
    """

    cause: PartCause
    identified_s: float
    used_s: float
    confirmed: bool = False
    told: bool = False


class KnownPartCauses:
    """Own the causes found here and those that other entry VMs told."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known: list[_KnownCause] = []

    def __len__(self) -> int:
        return len(self._known)

    def replace_found(self, found: Iterable[PartCause]) -> None:
        """Replace the causes found here, as the evidence has changed.

        A cause with fewer parts takes the place of those that it narrows down. One
        that was confirmed stays when its evidence expires.
        """
        now_s = self._clock.monotonic_s()
        known = []
        for cause in found:
            earlier = [one for one in self._known if one.cause.parts >= cause.parts]
            known.append(
                _KnownCause(
                    cause,
                    min((one.identified_s for one in earlier), default=now_s),
                    now_s,
                    confirmed=any(one.confirmed for one in earlier),
                )
            )
        kept = [
            one
            for one in self._known
            if one.told or (one.confirmed and one.cause.certain)
        ]
        self._known = known
        for one in kept:
            self._add(one)

    def add_told(self, parts: frozenset[str], *, survived: Collection[str]) -> bool:
        """Add a cause that another entry VM has confirmed.

        Parts with which runs have `survived` are left out, unless all have. Return
        whether that changed the causes.
        """
        now_s = self._clock.monotonic_s()
        cause = PartCause(parts=parts.difference(survived) or parts)
        for one in self._known:
            if one.cause.parts == cause.parts and one.cause.certain:
                one.told, changed = True, not one.confirmed
                one.confirmed = True
                return changed
        return self._add(_KnownCause(cause, now_s, now_s, confirmed=True, told=True))

    def _add(self, added: _KnownCause) -> bool:
        """Add a cause unless a known one includes it; return whether it was added."""
        if any(one.cause.parts <= added.cause.parts for one in self._known):
            return False
        self._known = [
            one for one in self._known if not one.cause.parts >= added.cause.parts
        ]
        self._known.append(added)
        del self._known[:-MAX_PART_CAUSES]
        return True

    def innocent_parts(self, parts: Collection[str]) -> frozenset[str]:
        """Return which parts of a run that went on after its start are innocent.

        Not those of a cause that is certain: the run may have begun before.
        """
        found = frozenset(parts)
        for one in self._known:
            immune = one.confirmed and one.cause.certain
            if immune and one.cause.parts <= found:
                found -= one.cause.parts
        return found

    def remove_parts(self, innocent: Collection[str], *, at_s: float) -> bool:
        """Remove parts with which runs survived; return whether that changed any.

        A run that survived long before a cause was identified tells nothing of it.
        """
        before = [one.cause for one in self._known]
        for one in self._known:
            if at_s + SETTLE_S < one.identified_s:
                continue
            one.cause = replace(
                one.cause,
                parts=one.cause.parts.difference(innocent),
                rivals=one.cause.rivals.difference(innocent),
            )
        self._known = [one for one in self._known if one.cause.parts]
        return [one.cause for one in self._known] != before

    def find(self, parts: Collection[str]) -> PartCause | None:
        """Return the cause for which a request with some parts is not sent."""
        for one in self._known:
            if one.cause.condemns(parts):
                one.used_s = self._clock.monotonic_s()
                return one.cause
        return None

    def is_confirmed(self, cause: PartCause) -> bool:
        """Return whether a cause is no longer provisional."""
        self.confirm()
        return any(one.confirmed for one in self._known if one.cause == cause)

    def any_concerns(self, parts: Collection[str]) -> bool:
        """Return whether a request with some parts may crash its server."""
        return any(one.cause.concerns(parts) for one in self._known)

    def confirm(self) -> None:
        """Confirm the causes for which the reports of all entry VMs are in."""
        settled_s = self._clock.monotonic_s() - SETTLE_S
        for one in self._known:
            one.confirmed |= one.identified_s <= settled_s

    def drop_unused(self, *, for_s: float) -> None:
        """Drop the causes of which no request has come for a time."""
        limit_s = self._clock.monotonic_s() - for_s
        self._known = [one for one in self._known if one.used_s >= limit_s]

    @property
    def explained(self) -> set[ServerInstance]:
        """Return the crashes that the causes explain."""
        return set().union(*(one.cause.crashes for one in self._known))

    @property
    def uncertain_crashes(self) -> set[ServerInstance]:
        """Return the crashes of causes that other VMs are not told of."""
        return set().union(
            *(
                one.cause.crashes
                for one in self._known
                if not (one.confirmed and one.cause.certain)
            )
        )

    @property
    def parts(self) -> frozenset[str]:
        """Return the parts of all causes, and their rivals."""
        return frozenset().union(
            *(one.cause.parts | one.cause.rivals for one in self._known)
        )

    @property
    def causes(self) -> tuple[PartCause, ...]:
        """Return the causes, also the provisional ones."""
        return tuple(one.cause for one in self._known)

    @property
    def confirmed_keys(self) -> tuple[str, ...]:
        """Return the certain causes to tell other VMs, the last used last."""
        self.confirm()
        certain = [one for one in self._known if one.confirmed and one.cause.certain]
        return tuple(
            one.cause.key for one in sorted(certain, key=lambda one: one.used_s)
        )
