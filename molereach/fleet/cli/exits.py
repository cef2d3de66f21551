"""Exit codes of the tool, and what many agents' answers come to as one of them."""

from typing import Any

from molereach.fleet.cli.client import CallError, CallRejectedError
from molereach.fleet.cli.tables import Printer
from molereach.fleet.rollout.report import Verdict

DONE, FAILED, BAD_INPUT, PARTIAL, CONFLICT, UNREACHABLE, REJECTED, INTERRUPTED = 0, 1, 2, 3, 4, 5, 6, 130
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


def good(found: dict[str, Any]) -> dict[str, Any]:
    return {name: each for name, each in found.items() if not isinstance(each, CallError)}


def errors(found: dict[str, Any]) -> dict[str, str]:
    return {name: str(each) for name, each in found.items() if isinstance(each, CallError)}


def reading_exit(found: dict[str, Any], missing: bool) -> int:
    """Of a command that reads: all answered, some did, none did, or all refused."""
    if not good(found):
        refused = all(isinstance(each, CallRejectedError) for each in found.values())
        return REJECTED if refused else UNREACHABLE
    return PARTIAL if errors(found) or missing else DONE


def complain(out: Printer, failed: dict[str, str]) -> None:
    for name, text in failed.items():
        out.line(f"agent {name}: not reached: {text}")
