"""Fits of measured points, and whether a page says what a run has measured."""

import pytest

from benchmarks.scale.figures import joined, rounded
from benchmarks.scale.fit import fit
from benchmarks.scale.page import page_faults

FIGURES = {
    "memory_mb_93000": 141.62,
    "control_share_93000": 0.0125,
    "words_bytes_per_s": 12345.6,
    "starts": 12,
    "half": 2.5,
    "below": -3.24,
}


def test_fit_of_points_on_a_line_is_that_line_and_leaves_nothing() -> None:
    line = fit([(200, 24.0), (2_000, 42.0), (20_000, 222.0)])
    assert line.slope == pytest.approx(0.01) and line.base == pytest.approx(22.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9) and line.sizes == (200, 2_000, 20_000)
    assert line.at(93_000) == pytest.approx(952.0) and line.beyond(93_000) == pytest.approx(4.65)
    assert line.beyond(200) == 1.0
    assert line.shown(93_000)["extrapolated_times"] == pytest.approx(4.65)


def test_residual_is_how_far_points_lie_from_the_line() -> None:
    line = fit([(0, 1.0), (0, -1.0), (10, 1.0), (10, -1.0)])
    assert line.slope == pytest.approx(0.0) and line.residual == pytest.approx(1.0)


def test_one_size_makes_no_slope() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit([(200, 1.0), (200, 2.0)])


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
def test_figure_rounded_to_its_digits_is_no_fault(text: str) -> None:
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
def test_what_differs_is_a_fault(text: str, fault: str) -> None:
    assert fault in page_faults(text, FIGURES)


def test_all_faults_of_a_page_are_told() -> None:
    text = "1<!-- scale: starts --> 2<!-- scale: starts -->\n12<!-- scale: starts -->"
    assert len(page_faults(text, FIGURES)) == 2


def test_figures_of_a_size_carry_the_moves_names_and_the_worst_of_all() -> None:
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
    found = joined(parts, 200)
    assert found["added_p99_ms_200"] == 3.5 and found["force_s_200"] == 2.25 and found["force_seen_200"] == 7
    assert found["control_bytes_per_s_200"] == 120.0 and found["control_payload_bytes_per_s_200"] == 80.0
    assert found["zone_force_s_200"] == 2.25
    assert found["longest_turn_ms_200"] == 7.0 and found["reset_turn_ms_200"] == 3.0
    assert rounded(0.0123456) == 0.01235 and rounded(93_000) == 93_000 and rounded(123_456.7) == 123_457
