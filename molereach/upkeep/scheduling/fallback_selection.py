"""Selects the fallback servers, which proxies may use for long without a session: a share of the servers of
each cell.

Changes are few, because a former fallback server can be taken out only once no proxy without a session may
still rely on it.
"""

from collections.abc import Collection

from molereach.upkeep.rules.fleet_facts import PERMILLE, Fleet, ServerFacts


def select_fallback_servers(
    fleet: Fleet,
    share_permille: int,
    current: Collection[str],
    with_open_items: Collection[str],
    unroutable: Collection[str],
    avoided: str = "",
) -> tuple[str, ...]:
    """The fallback servers, by preference those in `current`. `avoided`, whose maintenance is next, is
    selected only if it must be."""
    cells: dict[str, list[ServerFacts]] = {}
    for server in fleet.facts.servers:
        cells.setdefault(server.cell, []).append(server)
    selected: list[str] = []
    for cell in cells.values():
        count = min(-(-len(cell) * share_permille // PERMILLE), len(cell) - 1)
        eligible = [
            server
            for server in cell
            if server.name not in unroutable
            and server.name not in fleet.ordered
            and (server.ready or server.name in current)
        ]
        eligible.sort(
            key=lambda server: (
                server.name == avoided,
                not server.ready,
                server.name in with_open_items,
                server.name not in current,
                server.name,
            )
        )
        selected += [server.name for server in eligible[:count]]
    return tuple(sorted(selected))
