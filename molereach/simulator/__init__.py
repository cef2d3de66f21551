"""The decisions on the simulator's wire: `adapter` runs as a process."""
