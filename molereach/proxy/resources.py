"""Divides the sockets and the memory that a proxy may use among its components."""

import resource
from dataclasses import dataclass

from molereach.proxy.config import Config
from molereach.subsetting.entry_budget import MAX_LIST_COPIES

RESERVED_SOCKETS = 32  # for listening, discovery, gossip, the event loop and the log
MIN_SHARED_SOCKETS = 16  # for clients and backends together, however low the limit is
CLIENT_SOCKET_FRACTION = 0.8  # of the sockets that are not reserved
OPEN_COMMANDS_FRACTION = 1 / 8  # of the memory, for commands that are not answered yet
CLIENT_BUFFERS_FRACTION = 1 / 8  # of the memory, for incomplete commands and unread replies
ENDPOINT_LIST_FRACTION = 1 / 4  # of the memory, for the full endpoint list
LIST_ENTRY_BYTES = 160  # memory of one entry in one copy of the list
MIN_SUBSET_SIZE = 256  # endpoints that the policy knows; a shorter list is used whole
MAX_SUBSET_SIZE = 512


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """The limits of a proxy's components: numbers of sockets and endpoints, and bytes."""

    client_sockets: int
    backend_sockets: int
    open_command_bytes: int
    client_buffer_bytes: int
    subset_size: int
    list_entries: int

    @classmethod
    def from_config(cls, config: Config) -> "ResourceBudget":
        """Derive the limits from those of the configuration and the process's limit on open files."""
        open_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(MIN_SHARED_SOCKETS, min(config.sockets, open_files) - RESERVED_SOCKETS)
        client_sockets = round(sockets * CLIENT_SOCKET_FRACTION)
        backend_sockets = sockets - client_sockets
        memory_bytes = config.memory_mb << 20
        list_bytes = round(memory_bytes * ENDPOINT_LIST_FRACTION)
        return cls(
            client_sockets=client_sockets,
            backend_sockets=backend_sockets,
            open_command_bytes=round(memory_bytes * OPEN_COMMANDS_FRACTION),
            client_buffer_bytes=round(memory_bytes * CLIENT_BUFFERS_FRACTION),
            subset_size=min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, backend_sockets)),
            list_entries=list_bytes // (MAX_LIST_COPIES * LIST_ENTRY_BYTES),
        )
