"""Applies drains, which orders ask for, to discovery's list of servers.

The decision module receives them as ordinary events of the endpoint list.
"""

from collections.abc import Iterable
from dataclasses import replace

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState


class Overlay:
    """Discovery's list of servers, with the drains of orders applied.

    It never adds a server that discovery does not list, and never ends a drain that discovery itself reports.
    `listed` holds the servers as discovery lists them.
    """

    def __init__(self) -> None:
        """Start with no servers and no drains."""
        self.listed: dict[str, Endpoint] = {}
        self.version = 0
        self.sharing_proxies = 0
        self.drained: frozenset[str] = frozenset()

    def with_drain(self, server: Endpoint) -> Endpoint:
        """Return the server in the state that the decision module is to see."""
        if server.state is EndpointState.UP and server.name in self.drained:
            return replace(server, state=EndpointState.DRAINING)
        return server

    def on_endpoint_list(self, event: EndpointListReceived) -> EndpointListReceived:
        """Record an event from discovery; return it with the drains applied."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.SAVED):
            self.listed = {}
        if event.kind is not EndpointListKind.FAILED:
            self.version = event.version
            self.sharing_proxies = event.sharing_proxies
        for server in event.endpoints:
            if server.state is EndpointState.REMOVED:
                self.listed.pop(server.name, None)
            else:
                self.listed[server.name] = server
        return replace(event, endpoints=tuple(map(self.with_drain, event.endpoints)))

    def on_drained_servers(self, drained: Iterable[str]) -> EndpointListReceived | None:
        """Set the servers that orders drain; return the changes as an event, or None if there are none."""
        previously_drained = self.drained
        self.drained = frozenset(drained)
        changed = [
            self.with_drain(server)
            for name, server in self.listed.items()
            if server.state is EndpointState.UP and (name in previously_drained) != (name in self.drained)
        ]
        if not changed:
            return None
        return EndpointListReceived(
            EndpointListKind.CHANGES, self.version, tuple(changed), self.sharing_proxies
        )
