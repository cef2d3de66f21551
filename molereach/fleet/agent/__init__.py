"""The agent: one process on each machine, for all front doors there."""
