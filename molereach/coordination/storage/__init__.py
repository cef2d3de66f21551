"""The durable folder of one front door that sits on the panel: what it promised and accepted.

Read `frames` (the journal's frames), `whole` (the other files), `plan` (what to make of the files found): all
pure; then `disk` (the system calls), `reader` (what a folder holds), `store` (opens, writes) and `worker` (a
thread, so that no turn of the loop waits for a sync).
"""
