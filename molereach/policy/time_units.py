"""Time constants shared by several modules. All times of the policy are in microseconds."""

SECOND_US = 1_000_000
NEVER_US = 1 << 62  # later than any time that occurs

TICK_US = (
    20_000  # interval at which waiting requests and messages are checked, well below any latency objective
)
