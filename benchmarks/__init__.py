"""Measurements: one module a subject, `python -m benchmarks NAME [--quick] --json`."""
