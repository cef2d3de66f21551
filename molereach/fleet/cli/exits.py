"""Exit codes of the tool, and the code for the answers of many agents."""

from typing import Any

from molereach.fleet.cli.client import CallError, CallRejectedError
from molereach.fleet.cli.tables import Printer
from molereach.fleet.rollout.report import Verdict

DONE = 0
FAILED = 1
INVALID_INPUT = 2
PARTIAL = 3
CONFLICT = 4
UNREACHABLE = 5
REJECTED = 6
INTERRUPTED = 130
EXITS = {
    Verdict.DONE: DONE,
    Verdict.PARTIAL: PARTIAL,
    Verdict.CONFLICT: CONFLICT,
    Verdict.UNREACHABLE: UNREACHABLE,
    Verdict.REJECTED: REJECTED,
}
EXIT_TEXT = """\b
exit codes: 0 done everywhere; 1 a fault of the tool's own; 2 bad input;
3 partly: it stands, and not everybody said so, or not everybody answered;
4 conflict: another order stands in its way; 5 unreachable: no majority of
agents, or no agent, answered; 6 refused; 130 interrupted"""


def answers(results: dict[str, Any]) -> dict[str, Any]:
    """Return the answers among the results of `Fleet.all`, by agent."""
    return {name: each for name, each in results.items() if not isinstance(each, CallError)}


def errors(results: dict[str, Any]) -> dict[str, str]:
    """Return the texts of the errors among the results of `Fleet.all`, by agent."""
    return {name: str(each) for name, each in results.items() if isinstance(each, CallError)}


def reading_exit(results: dict[str, Any], missing: bool) -> int:
    """Return the exit code of a command that reads; `missing` if an agent's answer was not complete."""
    if not answers(results):
        rejected = all(isinstance(each, CallRejectedError) for each in results.values())
        return REJECTED if rejected else UNREACHABLE
    return PARTIAL if errors(results) or missing else DONE


def print_errors(printer: Printer, failed: dict[str, str]) -> None:
    """Print a line for each agent that did not answer."""
    for name, text in failed.items():
        printer.line(f"agent {name}: not reached: {text}")
