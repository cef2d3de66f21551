"""Exit codes of the tool, and how they follow from the results of calls to many agents."""

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
EXIT_CODES = {
    Verdict.DONE: DONE,
    Verdict.PARTIAL: PARTIAL,
    Verdict.CONFLICT: CONFLICT,
    Verdict.UNREACHABLE: UNREACHABLE,
    Verdict.REJECTED: REJECTED,
}
EXIT_CODES_HELP = """\b
exit codes: 0 done everywhere; 1 a fault of the tool's own; 2 bad input;
3 partly: it stands, and not everybody said so, or not everybody answered;
4 conflict: another order stands in its way; 5 unreachable: no majority of
agents, or no agent, answered; 6 refused; 130 interrupted"""


def successful_answers(results: dict[str, Any]) -> dict[str, Any]:
    """Return the answers among the results of `Fleet.call_all`, by agent."""
    return {agent: result for agent, result in results.items() if not isinstance(result, CallError)}


def error_texts(results: dict[str, Any]) -> dict[str, str]:
    """Return the error texts among the results of `Fleet.call_all`, by agent."""
    return {agent: str(result) for agent, result in results.items() if isinstance(result, CallError)}


def query_exit_code(results: dict[str, Any], incomplete: bool) -> int:
    """Return the exit code of a read-only command; `incomplete` if an answer lacks a proxy."""
    if not successful_answers(results):
        rejected = all(isinstance(result, CallRejectedError) for result in results.values())
        return REJECTED if rejected else UNREACHABLE
    return PARTIAL if error_texts(results) or incomplete else DONE


def print_errors(printer: Printer, errors: dict[str, str]) -> None:
    """Print a line for each agent that did not answer."""
    for agent, text in errors.items():
        printer.line(f"agent {agent}: not reached: {text}")
