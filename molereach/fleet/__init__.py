"""Many front doors managed as one: orders, and how agents agree on them. Cores only, so far."""
