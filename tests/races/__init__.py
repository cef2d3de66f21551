"""Two things meet at a connection's end; which comes first is forced. The rows: docs/design/endings.md."""
