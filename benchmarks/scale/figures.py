"""Names, aims and footnotes of a run's figures."""

from collections.abc import Mapping

# What is asked for at the size that is coming; `most_` begins the name of an upper bound.
AIMS = {
    "most_control_share_93000": 0.013,  # of a core: a door without traffic under an ordinary day's changes
    "most_control_share_with_words_93000": 0.013,  # the same, with the words of its neighbours' requests
    "most_memory_mb_93000": 128.0,
    "most_peak_memory_mb_93000": 128.0,
    "most_control_bytes_per_s_93000": 10_000.0,  # changes and words, with the heads of datagrams
    "most_restart_ready_s_93000": 10.0,  # nine in ten starts
    "restart_starts_93000": 10.0,
    "most_longest_turn_ms_93000": 20.0,  # of CPU, the whole list's reading included
    "most_force_s_93000": 5.0,  # the largest, over all moves and doors
    "force_seen_93000": 10.0,  # pairs of a change and a door that had asked there: else it says nothing
    "most_request_ratio": 1.25,  # CPU of a request at 93,000 backends over that at 200
    "most_added_p99_ms_93000": 7.7,
    "most_driver_late_p99_ms_93000": 5.0,  # past it the run's own lateness stands in its times
    "served_share_93000": 0.99,
    "served_share_200": 0.99,
}

# Figures that count by the worst of all moves, and their names then.
WORST = {
    "force_s": "force_s",
    "turn_ms": "longest_turn_ms",
    "memory_mb": "memory_mb",
    "peak_memory_mb": "peak_memory_mb",
}

HOLLOW = {
    "discovery": "one process is all agents: real bytes on loopback, one list, an address for each door",
    "backends": "one process is all of them, each at a loopback address of its own: answers at once; one"
    " that is gone resets what comes, instead of refusing it",
    "doors": "the decision module with a datagram socket, for the neighbours of real doors; the others of a"
    " tier are addresses that nobody has, as no tenant is shared with them",
    "tenants": "only those whose set holds a real door are asked for, at the rate that they have there",
    "request_us, p50, p99": "real doors, real clients' bytes; clients and backends share the machine",
    "memory, ready, turns": "real doors",
    "words": "real doors' datagrams with hollow ones, counted by these; bytes with 28 for each one's head",
    "force_s": "from when discovery wrote the change to the last request at a backend asked before",
}


def named(figures: Mapping[str, float], before: str = "", after: str = "") -> dict[str, float]:
    """Rounded, under longer names."""
    return {f"{before}{name}{after}": rounded(figure) for name, figure in figures.items()}


def rounded(figure: float) -> float:
    """To four digits that count; a whole number stays as it is."""
    if isinstance(figure, int) or abs(figure) >= 1e4:
        return round(figure)
    return float(f"{figure:.4g}")


def joined(parts: Mapping[str, Mapping[str, float]], size: int) -> dict[str, float]:
    """The figures of one size from those of its moves, under their names, and the worst over all moves."""
    found: dict[str, float] = {}
    for move, figures in parts.items():
        found |= named(figures, "" if move in ("ordinary", "idle") else f"{move}_", f"_{size}")
    for name, worst in WORST.items():
        values = [figures[name] for figures in parts.values() if name in figures]
        if values:
            found[f"{worst}_{size}"] = rounded(max(values))
    found[f"force_seen_{size}"] = sum(int(figures.get("force_seen", 0)) for figures in parts.values())
    ordinary, idle = parts.get("ordinary", {}), parts.get("idle", {})
    for part in ("p50_ms", "p99_ms"):
        if part in ordinary and f"bare_{part}" in ordinary:
            name = f"added_{part}_{size}"
            found[name] = rounded(ordinary[part] - ordinary[f"bare_{part}"])
    if "words_bytes_per_s" in ordinary and "changes_bytes_per_s" in idle:
        network = ordinary["words_bytes_per_s"] + idle["changes_bytes_per_s"]
        found[f"control_bytes_per_s_{size}"] = rounded(network)
        payload = ordinary["words_payload_bytes_per_s"] + idle["changes_bytes_per_s"]
        found[f"control_payload_bytes_per_s_{size}"] = rounded(payload)
    return found
