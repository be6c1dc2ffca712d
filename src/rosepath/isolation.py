"""Whether this data centre is cut off from all others and from the store.

Its VMs go on serving what reaches them, but callers are better off elsewhere:
most models are not here, and nobody can order them. Unready VMs make the
platform send callers to the nearest data centre that has ready ones.
"""

from rosepath.logs import get_logger
from rosepath.object_store import ObjectsPort, StoreError
from rosepath.peer_table import PeerTable

# Of two data centres that do not hear each other, neither knows which is cut
# off; of three or more, the one that hears none of the others.
OTHERS_NEEDED = 2

_log = get_logger()


class Isolation:
    """Hold what this VM believes of its data centre's links."""

    def __init__(
        self, data_centre: str, *, peers: PeerTable, store: ObjectsPort, probe: str
    ) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._store = store
        self._probe = probe
        self.cut_off = False

    async def step(self) -> None:
        """Look again; the store is asked only while nobody else is heard."""
        others = self._peers.data_centres(self._data_centre)
        silent = self._peers.cut_off(self._data_centre)
        alone = len(others) >= OTHERS_NEEDED and others <= silent
        cut_off = alone and not await self._store_answers()
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            _log.warning(
                "data_centre_cut_off" if cut_off else "data_centre_joined",
                step="peers",
                silent=sorted(silent),
            )

    async def _store_answers(self) -> bool:
        try:
            await self._store.get(self._probe)
        except StoreError as error:
            _log.info("store_unreached", step="store", why=error.message)
            return False
        return True
