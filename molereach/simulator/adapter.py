"""Reads batches of events from standard input and writes batches of actions to standard output.

Malformed input ends the process with one line on standard error and exit code 2. An exception in the policy
is reported in the reply.
"""

import sys
from collections.abc import Iterator
from typing import TextIO

from molereach.simulator.action_writer import one_line
from molereach.simulator.fields import FieldReader, WireError
from molereach.simulator.host import Host, PolicyError

EXIT_MALFORMED_INPUT = 2


def run_batch(host: Host, lines: Iterator[str]) -> list[str] | None:
    """Read and handle the next batch; return the lines of the reply, or None at the end of the input.

    Raises WireError, ValueError, KeyError or StopIteration if the input is malformed.
    """
    first_line = next(lines, None)
    if first_line is None:
        return None
    name, *fields = first_line.split(" ")
    if name != "MARK":
        raise WireError("a batch starts with MARK")
    host.start_batch(FieldReader(fields).integer())
    reply: list[str] = []
    for line in lines:
        name, *fields = line.split(" ")
        if name == "EOF_BATCH":
            return [*reply, "FINISHED"]
        try:
            reply += host.handle(name, fields, lines)
        except PolicyError as error:
            reply += [f"CONTEXT {host.target}", f"FAULT {one_line(str(error))}"]
    raise WireError("the input ends within a batch")


def serve(input_stream: TextIO, output_stream: TextIO, with_limits: bool = False) -> int:
    """Reply to batches until the input ends; return the exit code."""
    line_number = 0

    def counted_lines() -> Iterator[str]:
        nonlocal line_number
        for line in input_stream:
            line_number += 1
            yield line.rstrip("\n")

    host = Host(with_limits)
    lines = counted_lines()
    try:
        while (reply := run_batch(host, lines)) is not None:
            output_stream.write("\n".join(reply) + "\n")
            output_stream.flush()
    except (WireError, ValueError, KeyError, StopIteration) as error:
        print(f"molereach: line {line_number}: {_description(error)}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


def _description(error: Exception) -> str:
    if isinstance(error, KeyError):
        return one_line(f"unknown word {error}")
    return one_line(str(error) or "a list is cut off")


def main() -> int:
    """Serve standard input, with limits if the only argument is `--limits`; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, with_limits=sys.argv[1:] == ["--limits"])


if __name__ == "__main__":
    sys.exit(main())
