"""The dissemination tree: log entries flow from the leader to all proxies, renewal requests back.

In reading order: `settings`, `messages` (messages, events and actions), `ranked_tree` (the tree computed from
the ranks of proxies), `tree_state` (the live proxies and the leader), `parent_tracker` (the parent and its
timeout), `parent_selection` (changes of the parent), `children` (the proxies that follow this one),
`aggregation` (requests upstream, grants downstream), `entry_forwarding` (entries downstream), `downstream`
(messages to children), `heartbeat` (the times of heartbeats and reports), `core`.
"""
