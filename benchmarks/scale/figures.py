"""Names, aims and descriptions of a run's figures."""

from collections.abc import Mapping

# Aims at the planned size; `most_` begins the name of an upper bound.
AIMS = {
    "most_control_share_93000": 0.013,  # of a core: a door without traffic under an ordinary day's changes
    "most_control_share_with_words_93000": 0.013,  # the same, with gossip about its neighbours' requests
    "most_memory_mb_93000": 128.0,
    "most_peak_memory_mb_93000": 128.0,
    "most_control_bytes_per_s_93000": 10_000.0,  # list changes and gossip, with datagram headers
    "most_restart_ready_s_93000": 10.0,  # the 90th percentile of the starts
    "restart_starts_93000": 10.0,
    "most_longest_turn_ms_93000": 20.0,  # of CPU, including reading the whole list
    "most_force_s_93000": 5.0,  # the largest over all measurements and doors
    "force_seen_93000": 10.0,  # pairs of a change and a door that used the backend; fewer say nothing
    "most_request_ratio": 1.25,  # CPU of a request at 93,000 backends over that at 200
    "most_added_p99_ms_93000": 7.7,
    "most_driver_late_p99_ms_93000": 5.0,  # above it the load generator's own delay distorts the latencies
    "served_share_93000": 0.99,
    "served_share_200": 0.99,
}

# Figures of which the worst over all measurements counts, with the name that it gets.
WORST_FIGURES = {
    "force_s": "force_s",
    "turn_ms": "longest_turn_ms",
    "memory_mb": "memory_mb",
    "peak_memory_mb": "peak_memory_mb",
}

SIMULATED_PARTS = {
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


def rename(figures: Mapping[str, float], before: str = "", after: str = "") -> dict[str, float]:
    """Round figures and add a prefix and a suffix to their names."""
    return {f"{before}{name}{after}": round_figure(figure) for name, figure in figures.items()}


def round_figure(figure: float) -> float:
    """Round to four significant digits; whole numbers and figures from 10,000 to whole numbers."""
    if isinstance(figure, int) or abs(figure) >= 1e4:
        return round(figure)
    return float(f"{figure:.4g}")


def combine(measurements: Mapping[str, Mapping[str, float]], size: int) -> dict[str, float]:
    """Combine the figures of one size's measurements, and add the worst over all of them."""
    combined: dict[str, float] = {}
    for measurement, figures in measurements.items():
        combined |= rename(
            figures, "" if measurement in ("ordinary", "idle") else f"{measurement}_", f"_{size}"
        )
    for name, worst in WORST_FIGURES.items():
        values = [figures[name] for figures in measurements.values() if name in figures]
        if values:
            combined[f"{worst}_{size}"] = round_figure(max(values))
    combined[f"force_seen_{size}"] = sum(
        int(figures.get("force_seen", 0)) for figures in measurements.values()
    )
    ordinary, idle = measurements.get("ordinary", {}), measurements.get("idle", {})
    for percentile in ("p50_ms", "p99_ms"):
        if percentile in ordinary and f"bare_{percentile}" in ordinary:
            name = f"added_{percentile}_{size}"
            combined[name] = round_figure(ordinary[percentile] - ordinary[f"bare_{percentile}"])
    if "words_bytes_per_s" in ordinary and "changes_bytes_per_s" in idle:
        with_headers = ordinary["words_bytes_per_s"] + idle["changes_bytes_per_s"]
        combined[f"control_bytes_per_s_{size}"] = round_figure(with_headers)
        payload = ordinary["words_payload_bytes_per_s"] + idle["changes_bytes_per_s"]
        combined[f"control_payload_bytes_per_s_{size}"] = round_figure(payload)
    return combined
