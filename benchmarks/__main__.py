"""`python -m benchmarks NAME [--quick] [--json]`, `python -m benchmarks list`.

Exit codes: 0 all aims are met, 1 one is missed, 2 bad usage.
"""

import argparse
import json
import sys

from benchmarks import door, scenarios

SUBJECTS = {"door": door, "scenarios": scenarios}


def main() -> int:
    top = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__,
                                  formatter_class=argparse.RawDescriptionHelpFormatter)
    top.add_argument("name", choices=[*SUBJECTS, "list"], metavar="NAME",
                     help=f"list, or one of: {', '.join(SUBJECTS)}")
    top.add_argument("--quick", action="store_true", help="fewer repetitions: under 50 s")
    top.add_argument("--json", action="store_true", help="one JSON object, and no progress")
    top.add_argument("--seed", type=int, default=1, metavar="N")
    options = top.parse_args()
    if options.name == "list":
        docs = {name: (module.__doc__ or "").split("\n")[0] for name, module in SUBJECTS.items()}
        print(json.dumps(docs) if options.json else "\n".join(f"{name}: {doc}" for name, doc in docs.items()))
        return 0
    result = SUBJECTS[options.name].measure(options.quick, options.seed, not options.json)
    if options.json:
        print(result.json())
    else:
        for name, figure in result.figures.items():
            print(f"{name:<28}{figure:>12.3f}")
        print("ok" if not result.missed() else f"missed: {', '.join(result.missed())}")
    return 1 if result.missed() else 0


if __name__ == "__main__":
    sys.exit(main())
