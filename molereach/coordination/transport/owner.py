"""What a link asks of its owner, and tells it."""

from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.queue import Item
from molereach.coordination.transport.settings import LinkSettings
from molereach.coordination.transport.words import Words

if TYPE_CHECKING:
    from molereach.coordination.transport.link import Link


class Phase(Enum):
    """Where a connection stands."""

    HELLO = "hello"
    UP = "up"
    LEAVING = "leaving"  # nothing more is said; what comes is taken
    OVER = "over"


class Owner(Protocol):
    """Whom a link asks and tells."""

    key: bytes
    words: Words
    settings: LinkSettings

    def arrived(self, link: "Link") -> bool:
        """It has a socket: whether there is room for it until it has proven itself, if another opened it."""

    def refuses(self, life: NodeInstance) -> str:
        """Whether one that dialled, and is proven, is not wanted: the reason; "" if it is."""

    def opened(self, link: "Link") -> None:
        """It is up: `link.life` is who is there."""

    def ready(self, link: "Link") -> None:
        """It wants a turn: something came, or it may say something again."""

    def heard(self, link: "Link", part: str, message: Any) -> None:  # noqa: ANN401
        """A message; must not raise."""

    def next_for(self, link: "Link") -> Item | None:
        """What to say next, if anything."""

    def ended(self, link: "Link", was: Phase, reason: str, fault: bool) -> None:
        """It is not up any more, or never will be; once for each link. It may be there still, `LEAVING`."""

    def gone(self, link: "Link") -> None:
        """Its socket is closed."""
