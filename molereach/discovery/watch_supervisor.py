"""Which calls to discovery are out, which of them have failed, and when the next one is due: a core.

Discovery gives a sign of life every 2 s, and what it has to tell counts as told 6 s after a watch has fallen
silent. A call to an agent on the own machine costs nothing: its watch is given up when it has missed one sign
and half of the time to the next, which leaves 3 s for a dial that hangs for its full second and for one more.
Where the list must be asked for, a call costs discovery work, and none is made on a guess: two signs must be
missed, and half a second more, which leaves time for one dial that hangs.

Where the address is an agent on the own machine, it answers at once and at no cost; only while discovery is
down it is silent, and what it gets when that returns counts at that moment. Then nobody can know whether a
call that was made meanwhile will be answered or has been forgotten. So a call that has no answer yet is left
open for a while, as it may be the one that is answered, and every half second another is made beside it (a
hedged request: Dean and Barroso, The Tail at Scale, 2013), two at most; the first that says anything is kept,
and the other is closed. A slow answer comes by the elder one.

Where the list must be asked for, calls cost discovery work and may wait in its line, and a change still
counts as told 6 s after discovery could be reached. A call proves that it could not be reached only for
the moment at which it was made; so another is due `CALL_BY_S` after that, whether it was refused, forgotten
or trickles. The elder one stays meanwhile: its place in the line is the better one, and a tier whose calls
are given up and made again before their turn comes fills the line with calls that nobody waits for.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from molereach.discovery.poll_backoff import AFTER_DIAL_S, ANSWERED_S, CALL_BY_S, DIAL_S, TOLD_S, CallPacing

BEAT_S = 2.0  # discovery's sign of life, an empty line while nothing changes
SILENT_S = 1.5 * BEAT_S  # an answer of an agent that brings no byte for so long is dead
ASKED_SILENT_S = 2 * BEAT_S + 0.5  # one of a discovery that must be asked
WHOLE_S = 5.0  # and so is one that brings bytes, but neither an object nor an empty line
ANSWER_S = 5.0  # how long a call may wait for its answer to begin
ASKED_ANSWER_S = 30.0  # in the line of a discovery that must be asked, with another beside it
BESIDE_S = 0.5  # after a call that is still without an answer
MOST_OUT = 2  # calls at a time


@dataclass(slots=True)
class Call:
    """A call that is out, by the times in seconds at which it was made and last brought something."""

    opened_s: float
    heard_s: float | None = None  # a byte of an answer; None: it has not begun
    word_s: float = 0.0  # an object or an empty line, or the answer's beginning

    def until_s(self, must_ask: bool) -> float:
        """When it has failed, if it brings nothing more."""
        if self.heard_s is None:
            return self.opened_s + (ASKED_ANSWER_S if must_ask else ANSWER_S)
        silent_s, whole_s = (ASKED_SILENT_S, CALL_BY_S) if must_ask else (SILENT_S, WHOLE_S)
        return min(self.heard_s + silent_s, self.word_s + whole_s)


class Calling:
    """All times are of one clock, in seconds; calls go by numbers, which do not come again."""

    def __init__(self, pacing: CallPacing, draw: Callable[[], float]) -> None:
        self.pacing, self.draw = pacing, draw
        self.out: dict[int, Call] = {}  # the eldest first
        self.count = 0
        self.due_s = 0.0  # when the next call is
        self.beside_s = CALL_BY_S if pacing.must_ask else BESIDE_S
        self.owed_s = 0.0  # by when an answer must begin, for what the last watch misses

    def wait_s(self, now_s: float) -> float:
        """How long until something has to be done, if nothing is heard before."""
        ends_s = [call.until_s(self.pacing.must_ask) for call in self.out.values()]
        return max(0.0, min([self.due_s, *ends_s]) - now_s)

    def failed(self, now_s: float) -> list[int]:
        """Calls that have brought nothing for too long; each is then to be ended."""
        return [number for number, call in self.out.items() if now_s >= call.until_s(self.pacing.must_ask)]

    def open(self, now_s: float) -> int | None:
        """The number of the call that is to be made now, if one is due. `surplus` may then be closed."""
        if now_s < self.due_s:
            return None
        self.count += 1
        self.out[self.count] = Call(now_s)
        self.due_s = now_s + self.beside_s
        return self.count

    def surplus(self) -> list[int]:
        """The younger ones of too many calls: the eldest keeps its whole time, for an answer that is slow."""
        return list(self.out)[1 : 1 + max(0, len(self.out) - MOST_OUT)]

    def heard(self, number: int, now_s: float) -> None:
        """A call has brought bytes of an answer that has begun: none is needed beside it but where no word
        follows in time. Where the list must be asked for, that time runs from the call."""
        call = self.out.get(number)
        if call and call.heard_s is None:
            call.word_s = now_s
            if not self.pacing.must_ask and not self.is_answered():
                self.due_s = now_s + CALL_BY_S
        if call:
            call.heard_s = now_s

    def is_answered(self) -> bool:
        """Whether an answer has begun on any call that is out."""
        return any(call.heard_s is not None for call in self.out.values())

    def word(self, number: int, now_s: float) -> list[int]:
        """A call has brought an object, part of one or an empty line: it is the one that is kept. The others.

        Failures are forgotten only by `taken`: an object may still make no sense.
        """
        self.heard(number, now_s)
        self.out[number].word_s = now_s
        self.due_s, self.owed_s = math.inf, 0.0
        return [other for other in self.out if other != number]

    def taken(self) -> None:
        """What a call has brought was good."""
        self.pacing.heard()

    def over(self, number: int) -> None:
        """A call has done what it was made for, or was closed as surplus: it has not failed."""
        self.out.pop(number, None)

    def at_once(self, now_s: float) -> None:
        """The next call is due now."""
        self.due_s = now_s

    def ended(self, number: int, now_s: float) -> None:
        """A call has ended by itself, or has failed: the next one is due after the pacing's wait, unless
        another is being answered, or waits in a line with the time for one beside it already set."""
        call = self.out.pop(number, None)
        if call is None or self.is_answered():
            return
        silent, alone_s = now_s >= call.until_s(self.pacing.must_ask), self.pacing.alone_s()
        wait_s = self.pacing.ended(self.draw())
        if not self.pacing.must_ask:
            self.due_s = min(self.due_s, now_s + (0.0 if silent else wait_s))  # silent: it has waited enough
        elif not self.out:
            self.due_s = max(now_s, min(now_s + wait_s, self.ask_by_s(call, now_s + alone_s)))

    def ask_by_s(self, call: Call, least_s: float) -> float:
        """When to ask again after that call at the latest: a dial that hangs and an answer fit in before 6 s
        are over from when discovery can have been reached again. The 6 s of a watch that has told something
        run on while calls after it fail, the next of them at `least_s` at the soonest."""
        if call.heard_s is not None:
            unheard_s = min(call.heard_s, call.word_s)
            self.owed_s = unheard_s + TOLD_S - ANSWERED_S
            return unheard_s + CALL_BY_S
        by_s = call.opened_s + CALL_BY_S
        if least_s < self.owed_s + ANSWERED_S:
            by_s = min(by_s, max(least_s, self.owed_s - DIAL_S - AFTER_DIAL_S))
        return by_s
