"""Parsing of backend answers from arbitrarily split data, and their mapping to outcomes."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from molereach.backends.answers import outcome_of
from molereach.policy.interface.events import AttemptResult, LoadReport
from molereach.resp import Answer, AnswerReader, ProtocolError
from tests.sockets import value


def parse_answers(data: bytes, cuts: list[int]) -> list[Answer | None]:
    """The answers in data that arrives split at `cuts`, followed by None if the rest is malformed."""
    reader, answers = AnswerReader(), []
    boundaries = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    try:
        for start, end in pairwise(boundaries):
            reader.feed(data[start:end])
            while answer := reader.next():
                answers.append(answer)
    except ProtocolError:
        answers.append(None)
    return answers


VALUES_AND_REPORTS = st.tuples(st.binary(max_size=40), st.none() | st.binary(max_size=20))


@given(st.lists(VALUES_AND_REPORTS), st.lists(st.integers(0, 400)))
def test_answers_do_not_depend_on_how_the_data_is_split(
    answers: list[tuple[bytes, bytes | None]], cuts: list[int]
) -> None:
    data = b"".join(
        value(payload, b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report))
        for payload, report in answers
    )
    assert parse_answers(data, cuts) == [Answer(payload, report=report) for payload, report in answers]


CHUNKS = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"*3\r\n", b"$3\r\nabc\r\n", b"$-1\r\n", b"-ERR failed\r\n", b"-BUSY\r\n", b"\r\n"]),
)


@given(st.lists(CHUNKS), st.lists(st.integers(0, 200)))
def test_parsing_of_arbitrary_data_does_not_depend_on_how_it_is_split(
    chunks: list[bytes], cuts: list[int]
) -> None:
    assert parse_answers(b"".join(chunks), cuts) == parse_answers(b"".join(chunks), [])


def test_load_report_is_parsed_by_field_name() -> None:
    load = LoadReport(cpu_utilization=0.61, service_time_ms=12.5)
    report = b"util=0.61,latency_ms=12.5,strange=x"
    assert outcome_of(Answer(b"v", report=report)) == (AttemptResult.OK, b"v", load)
    for invalid in ("nan", "inf", "-inf", "-1", "-0.1", "1_0", " 1", "1e99", "2.5", "", "=", "0x1", "\xb2"):
        report = f"util={invalid},latency_ms=5".encode()
        parsed = outcome_of(Answer(b"v", report=report))[2]
        assert parsed is None or parsed.cpu_utilization is None
    assert outcome_of(Answer(b"v", report=b"util=\xff"))[2] is None
    assert outcome_of(Answer(b"v", report=b"util=what")) == (AttemptResult.OK, b"v", None)
    assert outcome_of(Answer(b"v")) == (AttemptResult.OK, b"v", None)
