"""The connections that may be closed for others, by state, and which of them goes first."""

from itertools import islice

from molereach.clients.connection_state import EVICTION_ORDER, Connection, State
from molereach.clock import now_us

MAX_CANDIDATES = 16  # of a state, examined for one that loses nothing


class EvictionQueues:
    """A queue of connections for each state in which they may be closed, the longest in it first."""

    def __init__(self) -> None:
        self.by_state: dict[State, dict[Connection, None]] = {State.CLOSING: {}}
        self.by_state.update((state, {}) for state, _ in EVICTION_ORDER)

    def add(self, connection: Connection) -> None:
        """A connection has entered its state."""
        queue = self.by_state.get(connection.state)
        if queue is not None:
            queue[connection] = None

    def remove(self, connection: Connection) -> None:
        """A connection has left its state."""
        for queue in self.by_state.values():
            queue.pop(connection, None)

    def in_state(self, state: State) -> list[Connection]:
        """The connections in a state, the longest in it first."""
        return list(self.by_state[state])

    def closing_count(self) -> int:
        """How many connections are closing."""
        return len(self.by_state[State.CLOSING])

    def evict_one(self, may_linger: bool) -> bool:
        """Close the connection of the least use; whether there was one.

        It may linger, for its client to read a last reply, if there is a socket for that.
        """
        current_us = now_us()
        for state, min_age_us in EVICTION_ORDER:
            for connection in list(islice(self.by_state[state], MAX_CANDIDATES)):
                if current_us - connection.since_us < min_age_us or connection.has_data_in_flight():
                    continue
                if not may_linger:
                    del self.by_state[state][connection]
                    connection.abort()
                    return True
                connection.evict()
                if connection.state is not state:  # else a command has arrived in this very moment
                    return True
        return False

    def abort_one_closing(self) -> bool:
        """Abort the connection that has been closing for longest; whether there was one."""
        for connection in list(islice(self.by_state[State.CLOSING], MAX_CANDIDATES)):
            if not connection.has_data_in_flight():
                del self.by_state[State.CLOSING][connection]
                connection.abort()
                return True
        return False
