"""Detect that this data centre is cut off from all others and from the store.

Its entry VMs keep serving requests, but most models are not resident here and
cannot be ordered. While its VMs report not ready, the platform routes callers
to the nearest data centre with ready ones.
"""

from rosepath.logs import get_logger
from rosepath.object_store import ObjectsPort, StoreError
from rosepath.peer_table import PeerTable

# If two data centres receive nothing from each other, either may be the one
# that is cut off. Among three or more, it is the one that receives nothing
# from any of the others.
MIN_OTHER_DATA_CENTRES = 2

_log = get_logger()


class DataCentreIsolation:
    """Own the state `cut_off`; while it is set, the entry VM is not ready."""

    def __init__(
        self, data_centre: str, *, peers: PeerTable, store: ObjectsPort, probe: str
    ) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._store = store
        self._probe = probe
        self.cut_off = False

    async def step(self) -> None:
        """Update `cut_off`.

        The store is read only if no other data centre sends state messages.
        """
        others = self._peers.data_centres(self._data_centre)
        silent = self._peers.cut_off(self._data_centre)
        alone = len(others) >= MIN_OTHER_DATA_CENTRES and others <= silent
        cut_off = alone and not await self._store_responds()
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            _log.warning(
                "data_centre_cut_off" if cut_off else "data_centre_joined",
                step="peers",
                silent=sorted(silent),
            )

    async def _store_responds(self) -> bool:
        try:
            await self._store.get(self._probe)
        except StoreError as error:
            _log.info("store_unreached", step="store", why=error.message)
            return False
        return True
