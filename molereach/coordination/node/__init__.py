"""One front door's place in the council.

Read `settings` and `first` (who accepts at the very beginning), then `parts` (the cores), `wiring` (which
action of one is an event of another), and the shell: `service`.
"""
