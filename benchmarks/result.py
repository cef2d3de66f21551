"""The result of a benchmark, printed as one JSON object."""

import json
import os
from dataclasses import dataclass, field


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which `fraction` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass(slots=True)
class Result:
    """Figures and the aims that they are checked against.

    An aim is the lower bound of the figure with its name, or the upper bound where its name begins with
    `most_`.
    """

    name: str
    seed: int
    aims: dict[str, float]
    figures: dict[str, float]
    more: dict[str, object] = field(default_factory=dict)

    def missed(self) -> list[str]:
        """Return the aims that are not met; an aim without a figure is missed."""
        return [aim for aim, bound in self.aims.items() if not self.is_met(aim, bound)]

    def is_met(self, aim: str, bound: float) -> bool:
        """Return whether the figure of an aim is within its bound."""
        figure = self.figures.get(aim.removeprefix("most_"))
        if figure is None:
            return False
        return figure <= bound if aim.startswith("most_") else figure >= bound

    def json(self) -> str:
        """Return the result as JSON text."""
        missed = self.missed()
        return json.dumps(
            {
                "name": self.name,
                "ok": not missed,
                "missed": missed,
                "aims": self.aims,
                "figures": self.figures,
                "cores": os.cpu_count(),
                "seed": self.seed,
                **self.more,
            }
        )
