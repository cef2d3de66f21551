"""Bytes that the program stores or sends, as recorded files, so that a change of the code's names cannot
change them.

The modules `*_samples` build the values; `recording` has the table of files and writes them
(`python -m tests.compatibility.recording`). The tests only read: each encodes the values and compares them
with the file byte for byte, and decodes the file and compares it with the values. A file is written anew only
where the format is changed on purpose, together with its version.
"""
