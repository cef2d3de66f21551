"""The folder of one node's log: written before anything that depends on it is sent, and read at a start.

Read `disk` (system calls), `sealed_files` and `frames` (formats), `plan` (names in a folder), `reader`
(what a folder holds), `folder` (opening and writing) and `worker` (the thread that writes).
"""
