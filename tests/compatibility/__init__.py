"""Bytes that earlier releases stored or sent: read and written unchanged."""
