"""Exchange configurations with other entry VMs."""

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


class ConfigurationExchange:
    """Fetch newer configurations from peers and serve the local one.

    Only the shards that the receiver does not have are transferred.
    """

    def __init__(
        self, state: ConfigurationState, tables: Tables, channels: PeerChannels
    ) -> None:
        self._state = state
        self._tables = tables
        self._channels = channels
        self._fetch_lock = asyncio.Lock()

    async def fetch(self, name: str) -> None:
        """Fetch and apply a newer configuration from a peer.

        Does nothing while another fetch is running.
        """
        member = self._tables.entry_vms.get(name)
        if member is None or self._fetch_lock.locked():
            return
        async with self._fetch_lock:
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
            self.apply_bundle(bundle)

    def apply_bundle(self, bundle: ConfigurationBundle) -> None:
        """Put a peer's configuration in force if it is newer and complete."""
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
        """Return the local configuration if it is newer than the requester's.

        Shards that the requester already has are left out.
        """
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
