"""`python -m benchmarks NAME [--quick] [--json]`, `python -m benchmarks list`.

Exit codes: 0 all aims are met, 1 one is missed, 2 bad usage.
"""

import importlib
import json

import click

from benchmarks.result import Result

SUBJECTS = ("council", "door", "fleet", "limits", "scale", "scenarios", "simulation", "view")
COMPARING_SUBJECTS = ("door", "scale")
FILE_WRITING_SUBJECTS = ("scale",)


def summary_line(name: str) -> str:
    """Return the first line of a benchmark module's docstring."""
    return (importlib.import_module(f"benchmarks.{name}").__doc__ or "").split("\n")[0]


@click.command("python -m benchmarks", help=__doc__)
@click.argument("name", type=click.Choice([*SUBJECTS, "list"]))
@click.option("--quick", is_flag=True, help="Fewer repetitions: under 50 s.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, and no progress.")
@click.option("--seed", type=int, default=1, metavar="N", show_default=True)
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False, resolve_path=True),
    metavar="DIR",
    help="door, scale: also measure the front door of another checkout, in the same run.",
)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, resolve_path=True),
    metavar="FILE",
    help="scale: also write the result as JSON to a file.",
)
def main(name: str, quick: bool, as_json: bool, seed: int, against: str | None, out: str | None) -> None:
    """Run one benchmark; the exit code says whether its aims are met."""
    if name == "list":
        summaries = {subject: summary_line(subject) for subject in SUBJECTS}
        lines = "\n".join(f"{subject}: {doc}" for subject, doc in summaries.items())
        click.echo(json.dumps(summaries) if as_json else lines)
        return
    if against and name not in COMPARING_SUBJECTS:
        raise click.UsageError(f"--against: only for {', '.join(COMPARING_SUBJECTS)}")
    if out and name not in FILE_WRITING_SUBJECTS:
        raise click.UsageError(f"--out: only for {', '.join(FILE_WRITING_SUBJECTS)}")
    options = {key: value for key, value in (("against", against), ("out", out)) if value}
    result: Result = importlib.import_module(f"benchmarks.{name}").measure(
        quick, seed, not as_json, **options
    )
    if as_json:
        click.echo(result.json())
    else:
        for figure, value in result.figures.items():
            click.echo(f"{figure:<32}{value:>12.3f}")
        click.echo("ok" if not result.missed() else f"missed: {', '.join(result.missed())}")
    raise SystemExit(1 if result.missed() else 0)


if __name__ == "__main__":
    main()
