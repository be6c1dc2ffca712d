"""Follow the configuration in the store."""

import asyncio
from collections.abc import Callable

from rosepath.configuration import ConfigurationState
from rosepath.configuration_store import HEAD_NAME, ConfigurationStore
from rosepath.logs import get_logger
from rosepath.object_store import PlatformPort, StoreError

POLL_INTERVAL_S = 0.5

_log = get_logger()


class ConfigurationFollower:
    """Watch the head in the store and pull newer versions.

    Only relays watch the store, and VMs that have no configuration yet. The
    others fetch newer versions from their peers.
    """

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
    def _should_follow(self) -> bool:
        return self._is_relay() or self._state.head.version == 0

    async def run(self) -> None:
        """Watch the store while a relay or without a configuration."""
        while True:
            if not self._should_follow:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            async for event in self._platform.watch(HEAD_NAME):
                if event.name in ("", HEAD_NAME):
                    await self._pull()
                if not self._should_follow:
                    break

    async def _pull(self) -> None:
        try:
            await self._store.pull()
        except (StoreError, ValueError) as error:
            _log.warning("pull_failed", step="store", error=str(error))
        if self._store.store_is_older:
            _log.error("store_went_back", version=self._state.head.version)
