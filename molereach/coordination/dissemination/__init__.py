"""The dissemination tree: log entries from the leader to all proxies, session renewals back to it.

In reading order: `settings`, `messages` (events, actions, messages), `ranked_tree` (the tree by rank),
`tree_state` (which proxies are live and which leads), `parent_tracker` (the parent, and when it is given up),
`parent_selection` (what changes the parent), `children` (who follows this proxy), `aggregation` (renewal
requests up, grants down), `entry_forwarding` (entries down), `downstream` (messages to children), `heartbeat`
(when to send), `core`.
"""
