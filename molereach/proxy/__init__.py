"""One front door: events to the policy, its actions to the sockets.

In reading order: `config`, `gossip`, `graceful_shutdown`, `connection_draining`, `proxy`.
"""
