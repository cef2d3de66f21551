"""The tool that manages many front doors as one."""
