"""Fetches the replicated state from an agent's peers."""

import httpx
import msgspec

from molereach.fleet.agent.agent import FetchState
from molereach.fleet.api_bodies import MAX_BODY_BYTES
from molereach.fleet.errors import FleetError
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.settings import FleetFile

_state_decoder = msgspec.json.Decoder(OrderStateRecord)


class PeerError(FleetError, OSError):
    """A peer could not be reached, or did not answer with a state."""


def peer_state_fetcher(client: httpx.AsyncClient, fleet: FleetFile) -> FetchState:
    """Return a function that fetches the state of a named peer if it is newer than a revision."""
    urls = {agent.name: agent.url.rstrip("/") for agent in fleet.agents}

    async def fetch_state(peer: str, after: int) -> OrderStateRecord | None:
        try:
            response = await client.get(f"{urls[peer]}/v1/book", params={"after": after})
        except httpx.HTTPError as error:
            raise PeerError(f"{type(error).__name__}: {error}") from error
        if response.status_code == httpx.codes.NO_CONTENT:
            return None
        if response.status_code != httpx.codes.OK or len(response.content) > MAX_BODY_BYTES:
            raise PeerError(f"status {response.status_code}, {len(response.content)} bytes")
        return _state_decoder.decode(response.content)

    return fetch_state
