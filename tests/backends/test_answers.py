"""Answers of backends, in whatever pieces they come, and what they mean."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from molereach.backends.answers import outcome_of
from molereach.policy.interface.events import AttemptResult, LoadReport
from molereach.resp import Answer, AnswerReader, ProtocolError
from tests.sockets import value


def parsed(data: bytes, cuts: list[int]) -> list[Answer | None]:
    """The answers found in data that comes in pieces; None where they can be read no further."""
    reader, found = AnswerReader(), []
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    try:
        for start, end in pairwise(places):
            reader.feed(data[start:end])
            while answer := reader.next():
                found.append(answer)
    except ProtocolError:
        found.append(None)
    return found


BODIES = st.tuples(st.binary(max_size=40), st.none() | st.binary(max_size=20))


@given(st.lists(BODIES), st.lists(st.integers(0, 400)))
def test_answers_are_the_same_however_cut(answers: list[tuple[bytes, bytes | None]], cuts: list[int]) -> None:
    data = b"".join(
        value(body, b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report))
        for body, report in answers
    )
    assert parsed(data, cuts) == [Answer(body, report=report) for body, report in answers]


PIECES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"*3\r\n", b"$3\r\nabc\r\n", b"$-1\r\n", b"-ERR failed\r\n", b"-BUSY\r\n", b"\r\n"]),
)


@given(st.lists(PIECES), st.lists(st.integers(0, 200)))
def test_whatever_a_backend_sends_is_the_same_in_pieces(pieces: list[bytes], cuts: list[int]) -> None:
    assert parsed(b"".join(pieces), cuts) == parsed(b"".join(pieces), [])


def test_load_report_is_read_by_name() -> None:
    load = LoadReport(cpu_utilization=0.61, service_time_ms=12.5)
    report = b"util=0.61,latency_ms=12.5,strange=x"
    assert outcome_of(Answer(b"v", report=report)) == (AttemptResult.OK, b"v", load)
    for odd in ("nan", "inf", "-inf", "-1", "-0.1", "1_0", " 1", "1e99", "2.5", "", "=", "0x1", "\xb2"):
        report = f"util={odd},latency_ms=5".encode()
        known = outcome_of(Answer(b"v", report=report))[2]
        assert known is None or known.cpu_utilization is None
    assert outcome_of(Answer(b"v", report=b"util=\xff"))[2] is None
    assert outcome_of(Answer(b"v", report=b"util=what")) == (AttemptResult.OK, b"v", None)
    assert outcome_of(Answer(b"v")) == (AttemptResult.OK, b"v", None)
