"""What a benchmark prints: one JSON object."""

import json
import os
from dataclasses import dataclass, field


def quantile(values: list[float], part: float) -> float:
    """The value below which that part of them lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@dataclass(slots=True)
class Result:
    """Figures against aims. An aim is the least that a figure of its name must be, or the most where its name
    begins with `most_`."""

    name: str
    seed: int
    aims: dict[str, float]
    figures: dict[str, float]
    more: dict[str, object] = field(default_factory=dict)

    def missed(self) -> list[str]:
        """The aims that are not met; one without a figure is missed."""
        return [aim for aim, wanted in self.aims.items() if not self.met(aim, wanted)]

    def met(self, aim: str, wanted: float) -> bool:
        figure = self.figures.get(aim.removeprefix("most_"))
        if figure is None:
            return False
        return figure <= wanted if aim.startswith("most_") else figure >= wanted

    def json(self) -> str:
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
