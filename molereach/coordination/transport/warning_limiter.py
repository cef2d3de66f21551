"""A limit on warnings that remote peers can cause, so that they cannot fill the log."""

import logging

MAX_WARNINGS_PER_INTERVAL = 8  # an interval is that of the heartbeats


class WarningLimiter:
    """Logs the first warnings of each interval and drops the others."""

    def __init__(self, log: logging.Logger) -> None:
        self.log = log
        self.warnings = 0

    def warn(self, text: str, *values: object) -> None:
        """Log a warning, unless too many were logged in this interval."""
        self.warnings += 1
        if self.warnings <= MAX_WARNINGS_PER_INTERVAL:
            self.log.warning(text, *values)

    def start_interval(self) -> None:
        """Count anew."""
        self.warnings = 0
