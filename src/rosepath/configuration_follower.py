"""Follow the configuration in the store, as a relay or until a first one came."""

import asyncio
from collections.abc import Callable

from rosepath.configuration import ConfigurationState
from rosepath.configuration_store import HEAD_NAME, ConfigurationStore
from rosepath.logs import get_logger
from rosepath.object_store import PlatformPort, StoreError

PAUSE_S = 0.5

_log = get_logger()


class ConfigurationFollower:
    """Watch the head and pull what is newer."""

    def __init__(
        self,
        platform: PlatformPort,
        store: ConfigurationStore,
        state: ConfigurationState,
        *,
        is_relay: Callable[[], bool],
    ) -> None:
        self._platform = platform
        self._store = store
        self._state = state
        self._is_relay = is_relay

    @property
    def _wanted(self) -> bool:
        return self._is_relay() or self._state.head.version == 0

    async def run(self) -> None:
        """Watch while this node is a relay or has no configuration yet."""
        while True:
            if not self._wanted:
                await asyncio.sleep(PAUSE_S)
                continue
            async for event in self._platform.watch(HEAD_NAME):
                if event.name in ("", HEAD_NAME):
                    await self._pull()
                if not self._wanted:
                    break

    async def _pull(self) -> None:
        try:
            await self._store.pull()
        except (StoreError, ValueError) as error:
            _log.warning("pull_failed", step="store", error=str(error))
        if self._store.went_back:
            _log.error("store_went_back", version=self._state.head.version)
