"""Selects the connection to close when a new one needs its place."""

from itertools import islice

from molereach.clients.connection_state import EVICTION_ORDER, Connection, State
from molereach.clock import now_us

MAX_CANDIDATES = 16  # per state, examined for one whose close loses no data


class EvictionQueues:
    """Queues of connections that may be closed, one per state, ordered by time in the state."""

    def __init__(self) -> None:
        self.by_state: dict[State, dict[Connection, None]] = {State.CLOSING: {}}
        self.by_state.update((state, {}) for state, _ in EVICTION_ORDER)

    def add(self, connection: Connection) -> None:
        """Enqueue a connection that has entered its state."""
        queue = self.by_state.get(connection.state)
        if queue is not None:
            queue[connection] = None

    def remove(self, connection: Connection) -> None:
        """Dequeue a connection that leaves its state."""
        for queue in self.by_state.values():
            queue.pop(connection, None)

    def in_state(self, state: State) -> list[Connection]:
        """Return the connections in a state, longest in the state first."""
        return list(self.by_state[state])

    def closing_count(self) -> int:
        """Number of connections that are closing."""
        return len(self.by_state[State.CLOSING])

    def evict_one(self, may_linger: bool) -> bool:
        """Close the first connection in eviction order and return whether there was one.

        With `may_linger`, its socket stays open for a while so that the client can read the last reply.
        """
        current_us = now_us()
        for state, min_age_us in EVICTION_ORDER:
            for connection in list(islice(self.by_state[state], MAX_CANDIDATES)):
                if current_us - connection.state_entered_us < min_age_us or connection.has_data_in_flight():
                    continue
                if not may_linger:
                    del self.by_state[state][connection]
                    connection.abort()
                    return True
                connection.evict()
                if connection.state is not state:  # unchanged if a command has just arrived
                    return True
        return False

    def abort_one_closing(self) -> bool:
        """Abort the connection that has been closing longest and return whether there was one."""
        for connection in list(islice(self.by_state[State.CLOSING], MAX_CANDIDATES)):
            if not connection.has_data_in_flight():
                del self.by_state[State.CLOSING][connection]
                connection.abort()
                return True
        return False
