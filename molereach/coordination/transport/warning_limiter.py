"""Limits the warnings that remote peers can cause, so that they cannot flood the log."""

import logging

MAX_WARNINGS_PER_INTERVAL = 8  # per heartbeat interval


class WarningLimiter:
    """Logs the first warnings of each interval and drops the rest."""

    def __init__(self, log: logging.Logger) -> None:
        self.log = log
        self.warnings = 0

    def warn(self, text: str, *values: object) -> None:
        """Log a warning unless the limit of this interval is reached."""
        self.warnings += 1
        if self.warnings <= MAX_WARNINGS_PER_INTERVAL:
            self.log.warning(text, *values)

    def start_interval(self) -> None:
        """Reset the count."""
        self.warnings = 0
