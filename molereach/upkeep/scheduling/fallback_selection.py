"""Which servers stand for front doors that are long without a session: of each cell a part, and as few
changes as can be, since one that stood is let go only once no front door without a session may still count
on it."""

from collections.abc import Collection

from molereach.upkeep.rules.fleet_facts import WHOLE, Fleet, Server


def stands(
    fleet: Fleet,
    share: int,
    now: Collection[str],
    busy: Collection[str],
    away: Collection[str],
    besides: str = "",
) -> tuple[str, ...]:
    """`busy` have open works, `away` are on their way; `besides` is to go next, and stands only if it
    must."""
    cells: dict[str, list[Server]] = {}
    for server in fleet.facts.servers:
        cells.setdefault(server.cell, []).append(server)
    found: list[str] = []
    for cell in cells.values():
        most = min(-(-len(cell) * share // WHOLE), len(cell) - 1)
        able = [
            server
            for server in cell
            if server.name not in away
            and server.name not in fleet.ordered
            and (server.ready or server.name in now)
        ]
        able.sort(
            key=lambda server: (
                server.name == besides,
                not server.ready,
                server.name in busy,
                server.name not in now,
                server.name,
            )
        )
        found += [server.name for server in able[:most]]
    return tuple(sorted(found))
