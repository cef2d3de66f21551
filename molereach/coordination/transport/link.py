"""One connection to a front door: handshake, then sealed messages both ways. A shell.

What is heard, and what is said next, is its owner's. Whatever is wrong with it ends it, and nothing else. One
that ends in order says so (`Bye`) and takes what is still on its way; who hears that says no more and closes.
So nothing is lost between two that live.
"""

import asyncio
import logging
from typing import cast

from molereach.clock import now_us
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.frames import MOST_BODY_BYTES, TAG_BYTES, Cutter, FrameError, head
from molereach.coordination.transport.hello import (
    MOST_HELLO_BYTES,
    Answering,
    Dialling,
    HelloError,
    Session,
    line,
    refusal,
)
from molereach.coordination.transport.owner import Owner, Phase
from molereach.coordination.transport.pulse import Pulse, Verdict
from molereach.coordination.transport.speech import Speech
from molereach.coordination.transport.words import OWN, Bye, WordError

log = logging.getLogger(__name__)


class Link(asyncio.Protocol):
    """One connection, dialled by us or accepted."""

    def __init__(self, owner: Owner, handshake: Dialling | Answering) -> None:
        self.owner, self.handshake, self.settings = owner, handshake, owner.settings
        self.dialled = isinstance(handshake, Dialling)
        self.loop = asyncio.get_running_loop()
        self.phase = Phase.HELLO
        self.cutter = Cutter(MOST_HELLO_BYTES, 0)
        self.pulse = Pulse(self.settings.most_silent, self.settings.most_stalled, self.settings.most_idle)
        self.speech: Speech | None = None  # from the time that it is up
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.source = ""  # the address that it came from, while it is unproven
        self.said_hello = False
        self.due = False  # a turn was asked for
        self.paused = False  # we write no more for now
        self.held = False  # we read no more for now
        self.leaving = 0  # beats
        self.bytes_in = self.bytes_out = self.heard_us = 0

    @property
    def life(self) -> NodeInstance:
        assert self.speech is not None
        return self.speech.life

    @property
    def name(self) -> str:
        """Of the peer; "" while it is not known."""
        if self.speech:
            return self.speech.life.name
        return self.handshake.to if isinstance(self.handshake, Dialling) else ""

    # --- the connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.phase is Phase.OVER:  # given up while it was dialled
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=self.settings.most_unread_bytes)
        self.timer = self.loop.call_later(self.settings.hello_s, self.lose, "not proven in time")
        if isinstance(self.handshake, Answering):
            self.source = str((self.transport.get_extra_info("peername") or ("?",))[0])
        if not self.owner.arrived(self):
            self.source = ""
            self.lose("too many that are not proven", fault=False)
        elif isinstance(self.handshake, Answering):
            self.write(head(self.handshake.greeting) + self.handshake.greeting)

    def data_received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        self.heard_us = now_us()
        self.pulse.on_bytes()
        self.cutter.feed(data)
        if self.phase is Phase.HELLO:
            self.shake()
        if self.phase in (Phase.UP, Phase.LEAVING) and self.cutter.buffer:
            self.owner.ready(self)
            if len(self.cutter.buffer) > self.settings.most_unhandled_bytes and self.transport:
                self.held = True
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.phase is Phase.UP:
            self.owner.ready(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.phase is not Phase.LEAVING:  # what was read of one that left is taken still
            self.lose(f"connection lost: {error.__class__.__name__}" if error else "closed by the other side")
        self.owner.gone(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.bytes_out += len(data)
            self.transport.write(data)

    # --- the handshake ---

    def shake(self) -> None:
        try:
            while self.phase is Phase.HELLO and (word := self.cutter.next()) is not None:
                if isinstance(self.handshake, Answering):
                    self.on_hello(self.handshake, word)
                elif not self.said_hello:
                    hello = self.handshake.greeted(word)
                    self.said_hello = True
                    self.write(head(hello) + hello)
                else:
                    self.begin(self.handshake.ended(word))
        except (HelloError, FrameError) as error:
            self.refuse(str(error))
        except Exception:
            log.exception("a handshake failed")
            self.lose("internal error")

    def on_hello(self, handshake: Answering, word: bytes) -> None:
        life = handshake.hello(word)
        if reason := self.owner.refuses(life):
            raise HelloError(reason)
        welcome, session = handshake.welcome(life)
        self.write(head(welcome) + welcome)
        self.begin(session)

    def begin(self, session: Session) -> None:
        self.speech = Speech(self.owner.key, session, self.dialled, self.owner.words, self.pulse)
        self.cutter.most, self.cutter.tail = MOST_BODY_BYTES, TAG_BYTES
        self.phase = Phase.UP
        self.stop_timer()
        self.owner.opened(self)

    def refuse(self, reason: str) -> None:
        """Say why, if we are the one who was asked, and close."""
        if self.phase is Phase.HELLO and self.transport is not None:
            if not self.dialled:
                said = refusal(reason)
                self.write(head(said) + said)
            self.end(reason, fault=True)
            self.transport.close()

    # --- turns ---

    def step(self) -> bool:
        """Take in a message and say one; whether there may be more of either. Any fault ends the link."""
        try:
            took = self.take()
            return self.say_next() or took
        except (FrameError, WordError) as error:
            self.lose(str(error))
        except Exception:
            log.exception("a turn of a link failed")
            self.lose("internal error")
        return False

    def take(self) -> bool:
        if self.phase not in (Phase.UP, Phase.LEAVING) or self.speech is None:
            return False
        frame = self.cutter.next()
        if frame is None:
            if self.held and self.transport and not self.transport.is_closing():
                self.held = False
                self.transport.resume_reading()
            return False
        part, message = self.speech.hear(frame)
        if part != OWN:
            self.owner.heard(self, part, message)
        elif isinstance(message, Bye):
            self.on_bye(message)
        return True

    def say_next(self) -> bool:
        if self.phase is not Phase.UP or self.paused:
            return False
        item = self.owner.next_for(self)
        if item is not None:
            self.say(item.body)
        return item is not None

    def say(self, body: bytes) -> None:
        """A message, at once; only while it is `UP`."""
        if self.speech is not None:
            self.write(self.speech.say(body))

    def beat(self) -> None:
        """Tell what was taken, and end it if it does not live."""
        if self.phase is Phase.LEAVING:
            self.leaving += 1
            if self.leaving >= self.settings.most_leaving:
                self.lose("it did not close")
        if self.phase is not Phase.UP or self.transport is None or self.speech is None:
            return
        waiting = self.transport.get_write_buffer_size()
        said, verdict = self.speech.beat(self.bytes_out - waiting, waiting)
        if said:
            self.write(said)
        if verdict is Verdict.IDLE:
            self.leave(verdict.value)
        elif verdict is not Verdict.LIVES:
            self.lose(verdict.value)

    # --- the end ---

    def leave(self, reason: str) -> None:
        """End it in order: the other side closes when it has said all."""
        if self.phase is Phase.UP and self.speech is not None:
            self.write(self.speech.own(Bye(reason)))
            self.end(reason, fault=False, then=Phase.LEAVING)

    def on_bye(self, bye: Bye) -> None:
        if self.phase is Phase.UP:
            self.end(f"left: {line(bye.reason)}", fault=False, then=Phase.LEAVING)
        if self.transport:
            self.transport.close()

    def lose(self, reason: str, fault: bool = True) -> None:
        """End it at once."""
        if self.phase is not Phase.OVER:
            self.end(reason, fault)
        if self.transport:
            self.transport.abort()

    def end(self, reason: str, fault: bool, then: Phase = Phase.OVER) -> None:
        was, self.phase = self.phase, then
        self.stop_timer()
        if was is not Phase.LEAVING:
            self.owner.ended(self, was, reason, fault)

    def stop_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
