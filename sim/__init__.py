"""Runs the whole program in virtual time: loop, network and clocks are simulated."""
