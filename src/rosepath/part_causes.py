"""Find the parts of prompts that crash servers, among those sent with them; no I/O.

A part crashes each server that begins to answer on it, whatever else the prompt
holds. While parts were only ever seen together, nothing tells which of them it is,
and only a request with all of them certainly has it.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from rosepath.crash_report import Exposure, ServerInstance

# Servers also crash for other reasons.
CRASHES_TO_IDENTIFY = 3
# A request that crashes servers whatever its prompt is retried with the same
# parts. So many requests with other contents tell a part from it.
CONTENTS_TO_IDENTIFY = 3
# A part that was at fewer of the crashes has not caused them instead.
CRASHES_OF_RIVAL = 2
# A single crash without any rival may have had another cause.
CRASHES_WITHOUT_RIVALS = 2
# Joins the keys of parts into one; neither appears in a key.
SEPARATOR = "+"


@dataclass(slots=True)
class PartEvidence:
    """Crashes at which requests with a part had just begun, and their contents."""

    exposures: dict[ServerInstance, Exposure] = field(default_factory=dict)
    contents: dict[ServerInstance, set[str]] = field(default_factory=dict)

    def add(self, instance: ServerInstance, exposure: Exposure, content: str) -> None:
        """Add a request with the part that was at a crash."""
        known = self.exposures.get(instance, Exposure.PRESENT)
        self.exposures[instance] = max(known, exposure)
        self.contents.setdefault(instance, set()).add(content)

    def count_contents(self) -> int:
        """Return the number of different requests at the crashes."""
        return len(set().union(*self.contents.values()))

    def accompanied(self, other: "PartEvidence") -> bool:
        """Return whether each request with the other part had this one, too."""
        return all(
            contents <= self.contents.get(instance, set())
            for instance, contents in other.contents.items()
        )

    def without(self, explained: Collection[ServerInstance]) -> "PartEvidence":
        """Return the evidence of the crashes that nothing else explains."""
        return PartEvidence(
            {
                instance: exposure
                for instance, exposure in self.exposures.items()
                if instance not in explained
            },
            {
                instance: contents
                for instance, contents in self.contents.items()
                if instance not in explained
            },
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PartCause:
    """Parts of which one crashes servers.

    `rivals` are other parts that may have caused several of the crashes instead.
    The cause is `certain` if there are none, or if servers crashed without them.
    """

    parts: frozenset[str]
    crashes: frozenset[ServerInstance] = frozenset()
    rivals: frozenset[str] = frozenset()
    certain: bool = True

    @property
    def key(self) -> str:
        """Return the key of the cause in messages and records."""
        return SEPARATOR.join(sorted(self.parts))

    def condemns(self, parts: Collection[str]) -> bool:
        """Return whether a request with some parts would crash its server.

        While the cause is not certain, one without its rivals puts it to the test.
        """
        return self.parts.issubset(parts) and (
            self.certain or not self.rivals.isdisjoint(parts)
        )

    def concerns(self, parts: Collection[str]) -> bool:
        """Return whether a request with some parts may crash its server."""
        return not (self.parts | self.rivals).isdisjoint(parts)


def parts_of_key(key: str) -> frozenset[str]:
    """Return the parts of a cause by its key."""
    return frozenset(key.split(SEPARATOR))


def find_part_causes(
    evidence: Mapping[str, PartEvidence], explained: Iterable[ServerInstance]
) -> Iterator[PartCause]:
    """Yield the parts that explain the crashes, those that explain most first."""
    known = set(explained)
    while cause := _find_cause(
        {key: one.without(known) for key, one in evidence.items()}
    ):
        known |= cause.crashes
        yield cause


def _find_cause(evidence: Mapping[str, PartEvidence]) -> PartCause | None:
    """Return the parts at most crashes; of those at as many, the largest set.

    The larger a set is, the fewer requests have all of it.
    """
    suspects = {key: one for key, one in evidence.items() if is_identifiable(one)}
    if not suspects:
        return None
    most = max(len(one.exposures) for one in suspects.values())
    sets = {
        key: _companions(one, evidence)
        for key, one in suspects.items()
        if len(one.exposures) == most
    }
    chosen = max(sets, key=lambda key: (len(sets[key]), key))
    crashes = frozenset(suspects[chosen].exposures)
    rivals = {
        key: one.exposures.keys() & crashes
        for key, one in evidence.items()
        if key not in sets[chosen]
        and len(one.exposures.keys() & crashes) >= CRASHES_OF_RIVAL
    }
    without_rivals = crashes.difference(*rivals.values())
    return PartCause(
        parts=sets[chosen],
        crashes=crashes,
        rivals=frozenset(rivals),
        certain=not rivals or len(without_rivals) >= CRASHES_WITHOUT_RIVALS,
    )


def is_identifiable(evidence: PartEvidence) -> bool:
    """Return whether a part may be the cause.

    Only a request that ran isolated at a crash can be told from those that are
    in flight everywhere.
    """
    return (
        len(evidence.exposures) >= CRASHES_TO_IDENTIFY
        and evidence.count_contents() >= CONTENTS_TO_IDENTIFY
        and Exposure.ISOLATED in evidence.exposures.values()
    )


def _companions(
    evidence: PartEvidence, others: Mapping[str, PartEvidence]
) -> frozenset[str]:
    """Return the parts that every request with a part had at the crashes."""
    return frozenset(key for key, one in others.items() if one.accompanied(evidence))
