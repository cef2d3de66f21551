"""Applies the drains of orders to discovery's list of servers.

The decision module sees them as ordinary list events.
"""

from collections.abc import Iterable
from dataclasses import replace

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState


class Overlay:
    """Discovery's list of servers with the drains of orders applied.

    It never adds a server that discovery has not named, and never undoes a drain of discovery's own. `listed`
    holds the servers as discovery lists them.
    """

    def __init__(self) -> None:
        """Start with no servers and no drains."""
        self.listed: dict[str, Endpoint] = {}
        self.version = 0
        self.sharing_proxies = 0
        self.drained: frozenset[str] = frozenset()

    def overlaid(self, server: Endpoint) -> Endpoint:
        """Return a server as the decision module is to see it."""
        if server.state is EndpointState.UP and server.name in self.drained:
            return replace(server, state=EndpointState.DRAINING)
        return server

    def on_endpoint_list(self, event: EndpointListReceived) -> EndpointListReceived:
        """Record an event of discovery; return it as the decision module is to see it."""
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
        return replace(event, endpoints=tuple(map(self.overlaid, event.endpoints)))

    def on_drained_servers(self, drained: Iterable[str]) -> EndpointListReceived | None:
        """Set the servers that orders drain; return the changes for the decision module, or None."""
        before = self.drained
        self.drained = frozenset(drained)
        changed = [
            self.overlaid(server)
            for name, server in self.listed.items()
            if server.state is EndpointState.UP and (name in before) != (name in self.drained)
        ]
        if not changed:
            return None
        return EndpointListReceived(
            EndpointListKind.CHANGES, self.version, tuple(changed), self.sharing_proxies
        )
