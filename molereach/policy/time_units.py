"""Times that several rules of the policy use. All times of the policy are whole microseconds."""

SECOND_US = 1_000_000
NEVER_US = 1 << 62  # a time that does not come

TICK_US = 20_000  # how often waiting requests and messages are examined: well under any latency objective
