"""The command `molereach simulate` (`python -m sim`): runs seeded scenarios in virtual time."""

import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import Progress

from rig import scenario as sc
from rig import scenario_files
from sim.run import Options, Verdict, run_seeds, scenario_for, shrink_failure
from sim.world import ClockSkew, run_scenario

EXIT_OK, EXIT_FAILED, EXIT_BAD_INPUT, EXIT_INTERRUPTED = 0, 1, 2, 130
EPILOG = """\b
exit codes: 0 every day is in order; 1 one is not, or the simulation itself
failed; 2 bad input; 130 interrupted"""
MAX_SEEDS = 1_000_000


class Seeds(click.ParamType[range]):
    """A range of seeds: `A..B`, both included, or one number."""

    name = "A..B"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> range:  # noqa: ANN401
        if isinstance(value, range):
            return value
        first, _, last = str(value).partition("..")
        if not first.isdigit() or not (last or first).isdigit():
            self.fail(f"'{value}' is not A..B, such as 1..100", param, ctx)
        seeds = range(int(first), int(last or first) + 1)
        if not 0 < len(seeds) <= MAX_SEEDS:
            self.fail(f"'{value}': 1 to {MAX_SEEDS} seeds", param, ctx)
        return seeds


def scenario_json(name: str, seconds: float | None) -> str:
    """A validated scenario as JSON, from a shipped name, a file or JSON; '' for none."""
    if not name:
        return ""
    if name.startswith("{"):
        try:
            scenario = msgspec.json.decode(name, type=sc.Scenario)
            sc.check_consistency(scenario)
        except (ValueError, msgspec.DecodeError) as error:
            raise click.BadParameter(" ".join(str(error).split()), param_hint="--scenario") from error
    else:
        try:
            scenario = scenario_files.load(name, {"seconds": seconds}, real=False)
        except scenario_files.ScenarioError as error:
            raise click.BadParameter(str(error), param_hint="--scenario") from error
    return msgspec.json.encode(scenario).decode()


def run_all(options: Options, seeds: range, jobs: int, hours: float, keep_going: bool) -> list[Verdict]:
    """Run all seeds with a progress bar; stop at the first failure unless `keep_going`."""
    console = Console(stderr=True)
    verdicts: list[Verdict] = []
    with Progress(console=console, disable=not sys.stderr.isatty()) as progress:
        bar = progress.add_task("days", total=None if hours else len(seeds))
        for verdict in run_seeds(options, seeds, jobs, hours):
            verdicts.append(verdict)
            progress.advance(bar)
            if not verdict.ok:
                progress.console.print(f"seed {verdict.seed}: {', '.join(verdict.why)}", markup=False)
                if not keep_going:
                    break
    return verdicts


def summary(verdicts: list[Verdict], elapsed_s: float) -> dict[str, Any]:
    """The figures of the report over all verdicts."""
    virtual_s = sum(verdict.seconds for verdict in verdicts)
    failures = sorted((verdict for verdict in verdicts if not verdict.ok), key=lambda verdict: verdict.seed)
    return {
        "days": len(verdicts),
        "in_order": len(verdicts) - len(failures),
        "virtual_s": virtual_s,
        "real_s": round(elapsed_s, 1),
        "virtual_per_real": round(virtual_s / max(elapsed_s, 1e-9), 1),
        "requests": sum(verdict.requests for verdict in verdicts),
        "unaccounted": sum(verdict.unaccounted for verdict in verdicts),
        "failed": [msgspec.to_builtins(verdict) for verdict in failures],
    }


def write_trace(options: Options, seed: int, file: Path) -> None:
    """Write the trace of a seed: one line per callback with time in microseconds, node and name."""
    result = run_scenario(
        scenario_for(options, seed),
        seed,
        trace=True,
        cost_us=options.cost_us,
        shuffle=options.shuffle,
        clock_skew=ClockSkew(options.skew_ms * 1000, options.drift),
    )
    file.write_text("".join(result.trace or ()))


@click.command("molereach simulate", epilog=EPILOG)
@click.option(
    "--scenario",
    "name",
    default="",
    metavar="NAME|FILE|JSON",
    help="One day for all seeds, as for `demo`; without it each seed draws a random day.",
)
@click.option("--seeds", type=Seeds(), default="1..100", show_default=True, help="The days to play.")
@click.option("--seconds", type=click.FloatRange(1.0, sc.MAX_SECONDS), help="Length of a day (random: 60).")
@click.option(
    "--hours",
    type=click.FloatRange(0.0),
    default=0.0,
    metavar="H",
    help="Take seeds until so many virtual hours are begun.",
)
@click.option("--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, help="Days side by side.")
@click.option(
    "--cost-us",
    type=click.IntRange(0, 100_000),
    default=0,
    metavar="US",
    help="Virtual time that each callback of a front door takes.",
)
@click.option(
    "--skew-ms",
    type=click.IntRange(0, 10_000_000),
    default=0,
    metavar="MS",
    help="Front doors' clocks are apart by so much at most, either way.",
)
@click.option(
    "--drift",
    type=click.FloatRange(0.0, 0.1),
    default=0.0,
    metavar="SHARE",
    help="And go faster or slower by so much at most.",
)
@click.option("--limits", is_flag=True, help="Front doors with [limits] in their operator file.")
@click.option("--broken", default="", hidden=True)
@click.option("--go-on", is_flag=True, help="Play all days, also after one that is not in order.")
@click.option(
    "--trace",
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="Write the callbacks of the first seed's day, in order.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object and nothing else.")
def simulate(
    name: str,
    seeds: range,
    seconds: float | None,
    hours: float,
    jobs: int,
    cost_us: int,
    skew_ms: int,
    drift: float,
    limits: bool,
    broken: str,
    go_on: bool,
    trace: Path | None,
    as_json: bool,
) -> None:
    """Days of the whole program in virtual time, judged by the auditor.

    The first that is not in order is made small, and printed as one line that plays it again.
    """
    options = Options(
        scenario_json(name, seconds), seconds or 60.0, cost_us, skew_ms, drift, broken, limits=limits
    )
    if trace:
        write_trace(options, seeds[0], trace)
    start = time.perf_counter()
    verdicts = run_all(options, seeds, jobs, hours, go_on)
    result = summary(verdicts, time.perf_counter() - start)
    failed = next((verdict for verdict in verdicts if not verdict.ok), None)
    shrunk = shrink_failure(options, failed) if failed else None
    if shrunk:
        result["small"] = {
            "faults": shrunk.faults,
            "runs": shrunk.runs,
            "why": shrunk.verdict.why,
            "lines": shrunk.verdict.lines,
            "again": shrunk.line(),
        }
    if as_json:
        click.echo(json.dumps(result))
    else:
        print_report(result)
    raise SystemExit(EXIT_FAILED if failed else EXIT_OK)


def print_report(result: dict[str, Any]) -> None:
    """Print the report in text form."""
    click.echo(
        f"{result['in_order']} of {result['days']} days in order: {result['requests']} requests, "
        f"{result['virtual_s'] / 3600:.2f} virtual hours in {result['real_s']} s "
        f"({result['virtual_per_real']} times as fast)"
    )
    for failed in result["failed"]:
        click.echo(f"seed {failed['seed']}: {', '.join(failed['why'])}")
    if shrunk := result.get("small"):
        click.echo(f"made small in {shrunk['runs']} days: {', '.join(shrunk['faults']) or 'no fault at all'}")
        for line in shrunk["lines"]:
            click.echo(f"  {line}")
        click.echo(f"again: {shrunk['again']}")


def main() -> int:
    """Run the command line; its exit code."""
    try:
        simulate.main(prog_name="molereach simulate", standalone_mode=False)
    except click.Abort:
        click.echo("molereach simulate: interrupted", err=True)
        return EXIT_INTERRUPTED
    except click.ClickException as error:
        error.show()
        return EXIT_BAD_INPUT
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
