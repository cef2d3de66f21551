"""Fits of measured points, and whether a page agrees with the figures of a run."""

import pytest

from benchmarks.scale.figures import combine, round_figure
from benchmarks.scale.fit import fit_line
from benchmarks.scale.page import page_faults

FIGURES = {
    "memory_mb_93000": 141.62,
    "control_share_93000": 0.0125,
    "words_bytes_per_s": 12345.6,
    "starts": 12,
    "half": 2.5,
    "below": -3.24,
}


def test_fit_of_points_on_a_line_is_that_line_without_residual() -> None:
    line = fit_line([(200, 24.0), (2_000, 42.0), (20_000, 222.0)])
    assert line.slope == pytest.approx(0.01) and line.base == pytest.approx(22.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9) and line.sizes == (200, 2_000, 20_000)
    assert line.value_at(93_000) == pytest.approx(952.0) and line.extrapolation_factor(
        93_000
    ) == pytest.approx(4.65)
    assert line.extrapolation_factor(200) == 1.0
    assert line.as_fields(93_000)["extrapolated_times"] == pytest.approx(4.65)


def test_residual_is_the_root_mean_square_distance() -> None:
    line = fit_line([(0, 1.0), (0, -1.0), (10, 1.0), (10, -1.0)])
    assert line.slope == pytest.approx(0.0) and line.residual == pytest.approx(1.0)


def test_fit_rejects_a_single_size() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit_line([(200, 1.0), (200, 2.0)])


@pytest.mark.parametrize(
    "text",
    [
        "a door takes 142 MB<!-- scale: memory_mb_93000 --> and",
        "141.6 MB<!-- scale: memory_mb_93000 -->",
        "**141.62 MB**<!--scale:memory_mb_93000-->",
        "| 12,346 bytes a second<!-- scale: words_bytes_per_s --> | 12<!-- scale: starts --> |",
        "0.013 of a core<!-- scale: control_share_93000 -->, 0.012<!-- scale: control_share_93000 -->",
        "2<!-- scale: half --> and 3<!-- scale: half --> and -3.2 ms<!-- scale: below -->",
    ],
)
def test_figure_rounded_to_the_shown_digits_agrees(text: str) -> None:
    assert page_faults(text, FIGURES) == []


@pytest.mark.parametrize(
    "text, fault",
    [
        ("141 MB<!-- scale: memory_mb_93000 -->", "line 1: memory_mb_93000 is 141, and 141.62 in the file"),
        (
            "141.7 MB<!-- scale: memory_mb_93000 -->",
            "line 1: memory_mb_93000 is 141.7, and 141.62 in the file",
        ),
        ("one\n\n5 MB<!-- scale: memory_mb_20000 -->", "line 3: memory_mb_20000 is in no file"),
        (
            "142 and some words that end it.<!-- scale: memory_mb_93000 -->",
            "line 1: no number stands before memory_mb_93000",
        ),
        (
            "142<!-- scale: starts --><!-- scale: memory_mb_93000 -->",
            "line 1: no number stands before memory_mb_93000",
        ),
        ("142<!-- scale: memory mb -->", "line 1: 'memory mb' is no figure's name"),
        ("142 MB and no comment", "the page holds no figure of a run"),
        ("10 MB<!-- scale: below -->", "line 1: below is 10, and -3.24 in the file"),
    ],
)
def test_difference_is_a_fault(text: str, fault: str) -> None:
    assert fault in page_faults(text, FIGURES)


def test_all_faults_of_a_page_are_reported() -> None:
    text = "1<!-- scale: starts --> 2<!-- scale: starts -->\n12<!-- scale: starts -->"
    assert len(page_faults(text, FIGURES)) == 2


def test_combined_figures_have_prefixes_and_the_worst_of_all() -> None:
    parts = {
        "ordinary": {
            "p99_ms": 5.0,
            "bare_p99_ms": 1.5,
            "force_s": 0.5,
            "force_seen": 3,
            "words_bytes_per_s": 100.0,
            "words_payload_bytes_per_s": 60.0,
        },
        "idle": {"changes_bytes_per_s": 20.0},
        "reset": {"turn_ms": 3.0},
        "zone": {"force_s": 2.25, "force_seen": 4, "turn_ms": 7.0},
    }
    combined = combine(parts, 200)
    assert (
        combined["added_p99_ms_200"] == 3.5
        and combined["force_s_200"] == 2.25
        and combined["force_seen_200"] == 7
    )
    assert (
        combined["control_bytes_per_s_200"] == 120.0 and combined["control_payload_bytes_per_s_200"] == 80.0
    )
    assert combined["zone_force_s_200"] == 2.25
    assert combined["longest_turn_ms_200"] == 7.0 and combined["reset_turn_ms_200"] == 3.0
    assert (
        round_figure(0.0123456) == 0.01235
        and round_figure(93_000) == 93_000
        and round_figure(123_456.7) == 123_457
    )
