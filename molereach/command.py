"""The `molereach` command: what stands beside the front door itself. Imported only when it is asked for.

Exit codes: 0 done, 1 failed in service, 2 bad input or usage.
"""

import argparse
import importlib.util
import json
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from molereach import operator

BAD_INPUT = 2
DEFAULT_LEVEL = "INFO"
EPILOG = """\
With no command the front door itself starts, as the environment tells it (PROXY_CONFIG and others);
MOLEREACH_OPERATOR or --operator names its operator file.
exit codes: 0 done, 1 failed in service, 2 bad input or usage"""


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="molereach", description="A front door that keeps customers' quotas, and what goes with it.",
        epilog=EPILOG, formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    top.add_argument("--operator", metavar="PATH", type=Path, help="operator file of the front door to start")
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser(
        "demo", add_help=False,
        help="front doors, servers, discovery and clients on loopback, with an audit at the end",
    )
    config = commands.add_parser("config", help="look at an operator file without starting anything")
    inner = config.add_subparsers(dest="config_command", metavar="COMMAND", required=True)
    check = inner.add_parser("check", help="check an operator file: exit 0 if it can be used, 2 if not")
    check.add_argument("file", metavar="FILE", type=Path)
    check.add_argument("--json", action="store_true", help="print one JSON object")
    return top


def complain(text: str) -> int:
    print(f"molereach: {text}", file=sys.stderr)
    return BAD_INPUT


def check_config(path: Path, as_json: bool) -> int:
    """Say whether an operator file can be used; starts nothing."""
    try:
        sections = operator.load(path).sections_on()
    except operator.OperatorError as error:
        if as_json:
            print(json.dumps({"file": str(path), "ok": False, "error": str(error)}))
            return BAD_INPUT
        return complain(str(error))
    if as_json:
        print(json.dumps({"file": str(path), "ok": True, "sections": sections}))
    else:
        print(f"{path}: usable; on: {', '.join(sections) or 'nothing'}")
    return 0


def demo(arguments: Sequence[str]) -> int:
    """Become the rig, which the front door never imports."""
    if importlib.util.find_spec("rig") is None or importlib.util.find_spec("hiredis") is None:
        return complain("demo: the rig is not installed; install the package with its extra, molereach[rig]")
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", "rig", *arguments])


def start(path: Path, serve: Callable[..., int]) -> int:
    """Start the front door with an operator file; one that cannot be used starts nothing."""
    try:
        settings = operator.load(path)
    except operator.OperatorError as error:
        return complain(str(error))
    level = (settings.log or operator.LogSection()).level.name
    if settings.control is None:
        return serve(level)
    from molereach.fleet import control  # off means not imported

    section = settings.control
    return serve(level, lambda door: control.attach(door, Path(section.socket), section.wait_for_orders_s))


def run(arguments: Sequence[str], env: Mapping[str, str], serve: Callable[..., int]) -> int:
    """Carry out a command line; `serve` starts the front door and returns its exit code."""
    if arguments[:1] == ["demo"]:  # its options are the rig's
        return demo(arguments[1:])
    options = parser().parse_args(arguments)
    if options.command == "config":
        return check_config(options.file, options.json)
    path = options.operator or (Path(env[operator.ENVIRONMENT]) if env.get(operator.ENVIRONMENT) else None)
    return start(path, serve) if path else serve(DEFAULT_LEVEL)
