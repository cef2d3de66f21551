"""What a proxy may use of sockets and memory, and what each part of it gets of that."""

import resource
from dataclasses import dataclass

from molereach.proxy.config import Config
from molereach.subsetting.entry_budget import MAX_LIST_COPIES

RESERVED_SOCKETS = 32  # for listening, discovery, gossip, the loop and the log
MIN_SHARED_SOCKETS = 16  # clients and backends get so many, however low the limit is
CLIENT_SOCKET_FRACTION = 0.8  # of the sockets that are not reserved
OPEN_COMMANDS_FRACTION = 1 / 8  # of the memory: for commands that are not answered yet
CLIENT_BUFFERS_FRACTION = 1 / 8  # of the memory: for incomplete commands, and replies that clients don't read
ENDPOINT_LIST_FRACTION = 1 / 4  # of the memory: for the full endpoint list
LIST_ENTRY_BYTES = 160  # that an entry of a list takes, in each copy
MIN_SUBSET_SIZE = 256  # endpoints that the policy decides on; a shorter list is its own subset
MAX_SUBSET_SIZE = 512


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """The bounds of a proxy's parts: numbers of sockets and endpoints, and bytes."""

    client_sockets: int
    backend_sockets: int
    open_command_bytes: int
    client_buffer_bytes: int
    subset_size: int
    list_entries: int

    @classmethod
    def from_config(cls, config: Config) -> "ResourceBudget":
        """The bounds under the configuration's limits and the process's limit on open files."""
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
