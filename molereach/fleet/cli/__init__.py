"""The command-line tool that operates many proxies as one.

In reading order: `client` (HTTP calls to all agents), `runner` (does the I/O of a rollout), `rollouts`
(creates one), `tables` (output), `exits` (exit codes), `session` (runs one command on one fleet), `in_flight`
(waits for attempts to end after a drain), `commands`.
"""
