"""Take newer configurations from peers, and give them the own one."""

import asyncio

from rosepath.configuration import ConfigurationState, decode_head, encode_head
from rosepath.logs import get_logger
from rosepath.peer_channels import CALL_FAILURES, PeerChannels
from rosepath.proto.rosepath_pb2 import (
    ConfigurationBundle,
    FetchConfigurationRequest,
)
from rosepath.tables import Tables

FETCH_TIMEOUT_S = 5.0

_log = get_logger()


class ConfigurationFeed:
    """Move configurations between entry VMs, only the shards that lack."""

    def __init__(
        self, state: ConfigurationState, tables: Tables, channels: PeerChannels
    ) -> None:
        self._state = state
        self._tables = tables
        self._channels = channels
        self._fetching = asyncio.Lock()

    async def fetch(self, name: str) -> None:
        """Take a newer configuration from a peer."""
        member = self._tables.entry_vms.get(name)
        if member is None or self._fetching.locked():
            return
        async with self._fetching:
            state = self._state
            request = FetchConfigurationRequest(
                known_version=state.head.version, known_digests=list(state.shards)
            )
            try:
                bundle = await self._channels.stub(member.address).FetchConfiguration(
                    request, timeout=FETCH_TIMEOUT_S
                )
            except CALL_FAILURES:
                self._channels.drop(member.address)
                return
            self.take_bundle(bundle)

    def take_bundle(self, bundle: ConfigurationBundle) -> None:
        """Put a peer's configuration in force if it is newer and whole."""
        if not bundle.head:
            return
        head = decode_head(bundle.head)
        if head.is_error():
            _log.warning("bundle_refused", reason=head.error)
            return
        applied = self._state.apply(head.ok, dict(bundle.shards))
        if applied.is_error():
            _log.warning("bundle_refused", reason=applied.error)

    def bundle_for(self, request: FetchConfigurationRequest) -> ConfigurationBundle:
        """Return the own configuration without what the asker has."""
        state = self._state
        bundle = ConfigurationBundle()
        if state.head.version <= request.known_version:
            return bundle
        bundle.head = encode_head(state.head)
        known = set(request.known_digests)
        for address, data in state.shards.items():
            if address not in known:
                bundle.shards[address] = data
        return bundle
