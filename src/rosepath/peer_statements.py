"""What other entry VMs state about themselves, until it expires; no I/O."""

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

# Statements of another entry VM expire after this unless received again: from
# that VM in a small fleet, from the holder of the placement lease in a large one.
STATEMENT_TTL_S = 2.0


class Statement(Protocol):
    """Name the entry VM that a statement is about."""

    @property
    def entry_vm(self) -> str: ...


S = TypeVar("S", bound=Statement)


class PeerStatements(Generic[S]):
    """Own the statements that each peer last sent.

    In a large fleet, the holder of the placement lease forwards those of all VMs.
    """

    def __init__(self, me: str) -> None:
        self._me = me
        # By sender: when it last sent statements of VMs other than this one.
        self._by_sender: dict[str, tuple[float, frozenset[S]]] = {}

    def apply(self, sender: str, statements: Iterable[S], *, now_s: float) -> bool:
        """Replace the statements of a sender; return whether any are new.

        Those of this VM, which the lease holder forwards, are left out.
        """
        received = frozenset(one for one in statements if one.entry_vm != self._me)
        _, known = self._by_sender.get(sender, (now_s, frozenset()))
        if received:
            self._by_sender[sender] = now_s, received
        else:
            self._by_sender.pop(sender, None)
        return bool(received - known)

    @property
    def count(self) -> int:
        """Return the number of statements that were received and not replaced."""
        return sum(len(statements) for _, statements in self._by_sender.values())

    def drop(self, is_void: Callable[[S], bool]) -> None:
        """Drop the statements that this VM knows to be void."""
        for sender, (received_s, statements) in self._by_sender.items():
            valid = frozenset(one for one in statements if not is_void(one))
            self._by_sender[sender] = received_s, valid

    def recent(self, now_s: float) -> frozenset[S]:
        """Return the statements of other VMs, without those that expired."""
        limit_s = now_s - STATEMENT_TTL_S
        return frozenset(
            one
            for received_s, statements in self._by_sender.values()
            if received_s > limit_s
            for one in statements
        )
