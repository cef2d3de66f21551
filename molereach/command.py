"""The `molereach` command: what stands beside the front door itself. Imported only when it is asked for.

Exit codes: 0 done, 1 failed in service, 2 bad input or usage; `molereach fleet` has more.
"""

import importlib.util
import json
import os
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from molereach import operator_config

if TYPE_CHECKING:
    import click

    from molereach.proxy.proxy import Proxy

BAD_INPUT = 2
DEFAULT_LEVEL = "INFO"
OPERATOR_OPTION = "--operator"
WORLDS = {"demo": "rig", "simulate": "sim"}  # commands, and the packages that they are
FLEET_PACKAGES = ("httpx", "hypercorn", "rich", "starlette", "structlog")
EPILOG = """\b
With no command the front door itself starts, as the environment tells it
(PROXY_CONFIG and others); MOLEREACH_OPERATOR or --operator names its operator
file. exit codes: 0 done, 1 failed in service, 2 bad input or usage"""

Serve = Callable[..., int]
Attach = Callable[["Proxy"], Awaitable[Callable[[], None]]]


def complain(text: str) -> int:
    print(f"molereach: {text}", file=sys.stderr)
    return BAD_INPUT


def check_config(path: Path, as_json: bool) -> int:
    """Say whether an operator file can be used; starts nothing."""
    try:
        settings = operator_config.load(path)
        limits_of(path, settings)
        council_of(path, settings)
        sections = settings.sections_on()
    except operator_config.OperatorError as error:
        if as_json:
            print(json.dumps({"file": str(path), "ok": False, "error": str(error)}))
            return BAD_INPUT
        return complain(str(error))
    if as_json:
        print(json.dumps({"file": str(path), "ok": True, "sections": sections}))
    else:
        print(f"{path}: usable; on: {', '.join(sections) or 'nothing'}")
    return 0


def installed(*packages: str) -> bool:
    return all(importlib.util.find_spec(name) is not None for name in packages)


def become(name: str, arguments: Sequence[str]) -> int:
    """Become the rig or the simulation, which the front door never imports."""
    package = WORLDS[name]
    if not installed(package, "hiredis"):
        return complain(f"{name}: is not installed; install the package with its extra, molereach[rig]")
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", package, *arguments])


def limits_of(path: Path, settings: operator_config.OperatorFile) -> Attach | None:
    """What switches `[limits]` on; OperatorError where its key cannot be used."""
    if settings.limits is None:
        return None
    from molereach import keyfile
    from molereach.limits import service

    try:
        return service.attacher(settings.limits)
    except keyfile.KeyFileError as error:
        raise operator_config.OperatorError(f"{path}: {error}") from error


def council_of(path: Path, settings: operator_config.OperatorFile) -> Attach | None:
    """What switches `[council]` on; OperatorError where its settings or its key cannot be used."""
    if settings.council is None:
        return None
    from molereach import keyfile
    from molereach.coordination.node import attach

    try:
        return attach.attacher(settings.council)
    except (keyfile.KeyFileError, ValueError) as error:
        raise operator_config.OperatorError(f"{path}: {error}") from error


def start(path: Path, serve: Serve) -> int:
    """Start the front door with an operator file; one that cannot be used starts nothing."""
    try:
        settings = operator_config.load(path)
        limits, council = limits_of(path, settings), council_of(path, settings)
    except operator_config.OperatorError as error:
        return complain(str(error))
    level = (settings.log or operator_config.LogSection()).level.name
    # Off means not imported.
    attach = [each for each in (limits, council) if each]
    if section := settings.control:
        from molereach.fleet import control

        attach.append(lambda door: control.attach(door, Path(section.socket), section.wait_for_orders_s))
    return serve(level, lambda door: attach_all(door, attach)) if attach else serve(level)


async def attach_all(door: "Proxy", attach: Sequence[Attach]) -> Callable[[], None]:
    """Switch on one after the other; what is returned switches them off, the last one first."""
    ends = [await each(door) for each in attach]

    def detach() -> None:
        for end in reversed(ends):
            end()

    return detach


def fleet_commands(top: "click.Group") -> None:
    """`fleet` and `agent`, or one line on how to have them."""
    import click

    if not installed(*FLEET_PACKAGES):
        for name in ("fleet", "agent"):

            @top.command(name, context_settings={"ignore_unknown_options": True})
            @click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
            def missing(arguments: tuple[str, ...]) -> None:
                """Not installed: install the package with its extra, molereach[fleet]."""
                raise SystemExit(complain("install the package with its extra, molereach[fleet]"))

        return
    from molereach.fleet.cli.commands.group import fleet

    top.add_command(fleet)

    @top.command()
    @click.option(
        "--config",
        "file",
        type=click.Path(path_type=Path),
        required=True,
        metavar="FILE",
        help="The agent's file.",
    )
    def agent(file: Path) -> None:
        """Run the agent of this machine's front doors."""
        from molereach.fleet.agent import run as agent_run

        raise SystemExit(agent_run.main(file))


def group(serve: Serve) -> "click.Group":
    """The whole command line."""
    import click

    @click.group("molereach", invoke_without_command=True, epilog=EPILOG)
    @click.option(
        OPERATOR_OPTION,
        "path",
        type=click.Path(path_type=Path),
        metavar="PATH",
        help="Operator file of the front door to start.",
    )
    @click.pass_context
    def top(context: click.Context, path: Path | None) -> None:
        """A front door that keeps customers' quotas, and what goes with it."""
        if context.invoked_subcommand is None:
            raise SystemExit(start(path, serve) if path else serve(DEFAULT_LEVEL))

    for name, text in (
        ("demo", "Front doors, servers, discovery and clients on loopback, with an audit at the end."),
        ("simulate", "The same in virtual time, many days at once, each from a seed."),
    ):
        as_is = click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
        loose = {"ignore_unknown_options": True}
        top.command(name, add_help_option=False, help=text, context_settings=loose)(
            as_is(lambda arguments, name=name: sys.exit(become(name, arguments)))
        )

    @top.group()
    def config() -> None:
        """Look at an operator file without starting anything."""

    @config.command()
    @click.argument("file", type=click.Path(path_type=Path))
    @click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
    def check(file: Path, as_json: bool) -> None:
        """Check an operator file: exit 0 if it can be used, 2 if not."""
        raise SystemExit(check_config(file, as_json))

    fleet_commands(top)
    return top


def run(arguments: Sequence[str], env: Mapping[str, str], serve: Serve) -> int:
    """Carry out a command line; `serve` starts the front door and returns its exit code."""
    if arguments and arguments[0] in WORLDS:  # its options are its own
        return become(arguments[0], arguments[1:])
    # A front door with an operator file takes nothing of the command line's library into its memory.
    if len(arguments) == 2 and arguments[0] == OPERATOR_OPTION:
        return start(Path(arguments[1]), serve)
    if not arguments:
        path = env.get(operator_config.ENVIRONMENT)
        return start(Path(path), serve) if path else serve(DEFAULT_LEVEL)
    try:
        group(serve).main(list(arguments), prog_name="molereach")
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
