"""Clients: taking them in, what they speak, and the checks that all of them share."""
