"""`python -m benchmarks NAME [--quick] [--json]`, `python -m benchmarks list`.

Exit codes: 0 all aims are met, 1 one is missed, 2 bad usage.
"""

import importlib
import json

import click

from benchmarks.result import Result

SUBJECTS = ("council", "door", "fleet", "limits", "scale", "scenarios", "simulation", "view")
TWO_SIDED = ("door", "scale")
FILED = ("scale",)


def first_line(name: str) -> str:
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
    """Measure one subject and end with the exit code of its aims."""
    if name == "list":
        docs = {subject: first_line(subject) for subject in SUBJECTS}
        lines = "\n".join(f"{subject}: {doc}" for subject, doc in docs.items())
        click.echo(json.dumps(docs) if as_json else lines)
        return
    if against and name not in TWO_SIDED:
        raise click.UsageError(f"--against: only for {', '.join(TWO_SIDED)}")
    if out and name not in FILED:
        raise click.UsageError(f"--out: only for {', '.join(FILED)}")
    more = {key: value for key, value in (("against", against), ("out", out)) if value}
    result: Result = importlib.import_module(f"benchmarks.{name}").measure(quick, seed, not as_json, **more)
    if as_json:
        click.echo(result.json())
    else:
        for figure, value in result.figures.items():
            click.echo(f"{figure:<32}{value:>12.3f}")
        click.echo("ok" if not result.missed() else f"missed: {', '.join(result.missed())}")
    raise SystemExit(1 if result.missed() else 0)


if __name__ == "__main__":
    main()
