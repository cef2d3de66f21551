"""The tool that manages many front doors as one.

In reading order: `client` (calls of all agents; the shell of a rollout), `tables` (what is printed),
`exits` (exit codes), `session` (one command on one fleet), `rollouts` (as the tool begins one),
`in_flight` (the wait after a drain), `commands`.
"""
