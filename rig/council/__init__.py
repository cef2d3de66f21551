"""Councils for trials: `marks` (on the log), `member` (a process), `relay` (faulty ways), `tier` (many)."""
