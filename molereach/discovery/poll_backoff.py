"""When a proxy polls discovery: exponential backoff with jitter, over a window shared by all proxies.

One service holds the list for all proxies and processes requests in order, a few per second, including
requests whose senders have given up. If all proxies poll at the same time, after a mass restart or when all
watches break at once, its queue fills with requests that are abandoned before they are processed; if these
are retried soon, the queue never empties and no proxy gets a list. So the polls are distributed over a window
that grows with the number of proxies, and retries over a longer one, each with its own jitter (Brooker,
Exponential Backoff and Jitter, AWS Architecture Blog, 2015). If there are few proxies, each polls as if it
were the only one.

A proxy has to know a change 6 s after discovery had it and was reachable, whatever happened to earlier polls.
No delay is therefore longer than these 6 s less the time for a hung connect and a response: the window ends
there for any number of proxies, and a discovery service that cannot process that many requests within it
answers some late. Its queue does not collapse, as proxies keep their requests open (`watch_supervisor`).

This applies where the list must be polled. Otherwise the address is an agent on the proxy's own machine,
which pushes changes: it answers immediately and at no cost, and a proxy has to know what the agent knows. A
delay has no benefit there, and a restarted proxy would use a list that is known to be outdated.
"""

import math

from molereach.policy.interface.settings import Settings

POLL_COST_S = 0.2  # discovery's processing time per request; the window has this much for each proxy
MAX_UNJITTERED_PROXIES = 8  # so many proxies may poll at the same time without overloading discovery
BASE_BACKOFF_S = 0.1  # after the first failure, if this is the only proxy
MAX_BACKOFF_S = 1.0
MAX_LOCAL_DISCOVERY_BACKOFF_S = 0.25  # where the address is an agent on the same machine
MAX_DOUBLINGS = 8  # bounds the exponent; the limits above are reached earlier
MAX_RETRY_WINDOWS = 4  # the mean delay of a retry is at most this many windows
# The window is at most this fraction of the time within which a proxy has to poll, so that a list is received
# before the proxy has to know it.
POLL_WITHIN_FRACTION = 0.8
NOTIFICATION_LIMIT_S = 6.0  # after discovery became reachable, by when a proxy has to know a change
RESPONSE_TIME_S = 0.4
HUNG_CONNECT_S = 1.0  # until a hung connect times out
RECONNECT_MARGIN_S = 0.1  # for the connect after a hung one
# Longest time between polls for which a response arrives within the limit even after a hung connect.
POLL_INTERVAL_LIMIT_S = NOTIFICATION_LIMIT_S - RESPONSE_TIME_S - HUNG_CONNECT_S - RECONNECT_MARGIN_S


class PollBackoff:
    """Computes the delay before each poll in seconds; `draw` is a uniform random number between 0 and 1."""

    def __init__(self, proxy_count: int, must_poll: bool = True, poll_within_s: float = 0.0) -> None:
        """`must_poll`: changes are not pushed; `poll_within_s`: time within which to poll, 0 for no limit."""
        self.must_poll = must_poll
        self.max_window_s = min(POLL_INTERVAL_LIMIT_S, POLL_WITHIN_FRACTION * poll_within_s or math.inf)
        fleet_window_s = POLL_COST_S * max(0, proxy_count - MAX_UNJITTERED_PROXIES)
        self.window_s = min(fleet_window_s, self.max_window_s) if must_poll else 0.0
        self.failures = 0

    @classmethod
    def from_settings(cls, settings: Settings) -> "PollBackoff":
        """Create the backoff for the number of proxies in the settings."""
        return cls(settings.proxy_count, settings.must_poll_endpoints, settings.poll_within_us / 1e6)

    def initial_delay_s(self, draw: float) -> float:
        """Delay before the first poll of a process with a saved list, as others may start simultaneously."""
        return self.window_s * draw

    def reset(self) -> None:
        """Reset the number of failures after an update was received."""
        self.failures = 0

    def record_failure(self, draw: float) -> float:
        """Count a failed poll or a broken watch; returns the delay before the next poll.

        A watch that breaks after an update counts too, as the watches of all proxies may break at once.
        """
        single_s = self.single_proxy_delay_s()
        shared_s = self.window_s * draw
        if self.failures:
            window_s = self.window_s * min(MAX_RETRY_WINDOWS, 2 ** (self.failures - 1))
            shared_s = min(window_s, self.max_window_s / 1.5) * (0.5 + draw)
        self.failures += 1
        return max(single_s, shared_s)

    def single_proxy_delay_s(self) -> float:
        """Delay after the next failure if this were the only proxy."""
        limit_s = MAX_BACKOFF_S if self.must_poll else MAX_LOCAL_DISCOVERY_BACKOFF_S
        delay_s: float = min(limit_s, BASE_BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS))
        return delay_s
