"""Times that all parts of the decisions count with, in microseconds."""

SECOND_US, NEVER_US = 1_000_000, 1 << 62  # a second; a time that does not come

TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
