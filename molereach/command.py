"""The `molereach` command line: the proxy with an operator file, and the tools.

Exit codes: 0 for success, 1 for a failure while serving, 2 for invalid input or usage; `molereach fleet` has
more. The packages that a tool needs are imported only by its command.
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

EXIT_INVALID_INPUT = 2
DEFAULT_LOG_LEVEL = "INFO"
OPERATOR_OPTION = "--operator"
PACKAGE_COMMANDS = {"demo": "rig", "simulate": "sim"}  # commands that run another package, with its name
FLEET_PACKAGES = ("httpx", "hypercorn", "rich", "starlette", "structlog")
EPILOG = """\b
With no command the front door itself starts, as the environment tells it
(PROXY_CONFIG and others); MOLEREACH_OPERATOR or --operator names its operator
file. exit codes: 0 done, 1 failed in service, 2 bad input or usage"""

Serve = Callable[..., int]
Attach = Callable[["Proxy"], Awaitable[Callable[[], None]]]


def report_invalid_input(text: str) -> int:
    """Print one line to standard error; return the exit code for invalid input."""
    print(f"molereach: {text}", file=sys.stderr)
    return EXIT_INVALID_INPUT


def check_config(path: Path, as_json: bool) -> int:
    """Print whether an operator file is valid, as text or JSON; return the exit code."""
    try:
        settings = operator_config.load(path)
        limits_attacher(path, settings)
        coordination_attacher(path, settings)
        sections = settings.sections_on()
    except operator_config.OperatorError as error:
        if as_json:
            print(json.dumps({"file": str(path), "ok": False, "error": str(error)}))
            return EXIT_INVALID_INPUT
        return report_invalid_input(str(error))
    if as_json:
        print(json.dumps({"file": str(path), "ok": True, "sections": sections}))
    else:
        print(f"{path}: usable; on: {', '.join(sections) or 'nothing'}")
    return 0


def are_installed(*packages: str) -> bool:
    """Return whether all packages can be imported."""
    return all(importlib.util.find_spec(name) is not None for name in packages)


def exec_package(name: str, arguments: Sequence[str]) -> int:
    """Replace this process by the rig or the simulation, which the proxy must not import."""
    package = PACKAGE_COMMANDS[name]
    if not are_installed(package, "hiredis"):
        return report_invalid_input(
            f"{name}: is not installed; install the package with its extra, molereach[rig]"
        )
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", package, *arguments])


def limits_attacher(path: Path, settings: operator_config.OperatorFile) -> Attach | None:
    """Return the function that starts `[limits]`, None if it is off; OperatorError for an invalid key."""
    if settings.limits is None:
        return None
    from molereach import keyfile
    from molereach.limits import service

    try:
        return service.attacher(settings.limits)
    except keyfile.KeyFileError as error:
        raise operator_config.OperatorError(f"{path}: {error}") from error


def coordination_attacher(path: Path, settings: operator_config.OperatorFile) -> Attach | None:
    """Return the function that starts `[council]`, None if it is off; OperatorError for invalid settings."""
    if settings.council is None:
        return None
    from molereach import keyfile
    from molereach.coordination.node import attach

    try:
        return attach.attacher(settings.council)
    except (keyfile.KeyFileError, ValueError) as error:
        raise operator_config.OperatorError(f"{path}: {error}") from error


def start_proxy(path: Path, serve: Serve) -> int:
    """Run the proxy with an operator file; return its exit code."""
    try:
        settings = operator_config.load(path)
        attachers = [
            attacher
            for attacher in (limits_attacher(path, settings), coordination_attacher(path, settings))
            if attacher
        ]
    except operator_config.OperatorError as error:
        return report_invalid_input(str(error))
    log_level = (settings.log or operator_config.LogSection()).level.name
    if section := settings.control:
        from molereach.fleet import control  # a subsystem that is off is not imported

        attachers.append(lambda proxy: control.attach(proxy, Path(section.socket), section.wait_for_orders_s))
    return serve(log_level, lambda proxy: attach_all(proxy, attachers)) if attachers else serve(log_level)


async def attach_all(proxy: "Proxy", attachers: Sequence[Attach]) -> Callable[[], None]:
    """Start subsystems in order; return a function that stops them in reverse order.

    A subsystem may use those that were started before it.
    """
    stops = [await attach(proxy) for attach in attachers]

    def detach() -> None:
        for stop in reversed(stops):
            stop()

    return detach


def add_fleet_commands(top: "click.Group") -> None:
    """Add `fleet` and `agent`, or commands that say how to install their packages if these are missing."""
    import click

    if not are_installed(*FLEET_PACKAGES):
        for name in ("fleet", "agent"):

            @top.command(name, context_settings={"ignore_unknown_options": True})
            @click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
            def missing(arguments: tuple[str, ...]) -> None:
                """Not installed: install the package with its extra, molereach[fleet]."""
                raise SystemExit(report_invalid_input("install the package with its extra, molereach[fleet]"))

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


def build_command_line(serve: Serve) -> "click.Group":
    """Build the command line with all its commands."""
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
            raise SystemExit(start_proxy(path, serve) if path else serve(DEFAULT_LOG_LEVEL))

    for name, text in (
        ("demo", "Front doors, servers, discovery and clients on loopback, with an audit at the end."),
        ("simulate", "The same in virtual time, many days at once, each from a seed."),
    ):
        all_arguments = click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
        context_settings = {"ignore_unknown_options": True}
        top.command(name, add_help_option=False, help=text, context_settings=context_settings)(
            all_arguments(lambda arguments, name=name: sys.exit(exec_package(name, arguments)))
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

    add_fleet_commands(top)
    return top


def run(arguments: Sequence[str], env: Mapping[str, str], serve: Serve) -> int:
    """Run a command line; `serve` runs the proxy and returns its exit code, which is returned."""
    if arguments and arguments[0] in PACKAGE_COMMANDS:  # the package parses its own options
        return exec_package(arguments[0], arguments[1:])
    # Click is not imported in order to start the proxy, as it would stay in the proxy's memory.
    if len(arguments) == 2 and arguments[0] == OPERATOR_OPTION:
        return start_proxy(Path(arguments[1]), serve)
    if not arguments:
        path = env.get(operator_config.ENVIRONMENT_VARIABLE)
        return start_proxy(Path(path), serve) if path else serve(DEFAULT_LOG_LEVEL)
    try:
        build_command_line(serve).main(list(arguments), prog_name="molereach")
    except SystemExit as system_exit:
        return system_exit.code if isinstance(system_exit.code, int) else 1
    return 0
