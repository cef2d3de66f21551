"""The folder that stores a node's log: read at startup, and written before any message that depends on it.

Reading order: `disk` (system calls), `sealed_files` and `frames` (file formats), `plan` (file names in a
folder), `reader` (reading a folder), `folder` (opening and writing) and `worker` (the writer thread).
"""
