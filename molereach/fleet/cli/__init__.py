"""The command-line tool that operates many proxies as one.

In reading order: `client` (calls of all agents), `runner` (carries a rollout out), `rollouts` (makes one),
`tables` (output), `exits` (exit codes), `session` (one command on one fleet), `in_flight` (the wait after a
drain), `commands`.
"""
