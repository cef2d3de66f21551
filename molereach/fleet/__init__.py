"""Operates many proxies as one: replicated orders, an agent on each machine, and a command-line tool.

In reading order: `orders` (orders and their record), `order_state` (the replicated state), `overlay` (drains
over discovery's list), `agreement` (Paxos), `journal` (an agent's disk), `wire` and `control` (the proxy's
side), `api_bodies`, `roster` (an agent's proxies), `agent`, `rollout`, `cli`, `settings` (files).
"""
