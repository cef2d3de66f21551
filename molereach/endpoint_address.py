"""The address of a host and port, as asyncio and sockets take and return it."""

from molereach.protocol.settings_reader import abbreviated

EndpointAddress = tuple[str, int]  # host, port

MAX_PORT_DIGITS = 6  # more are cut off before they become a number: what is left is out of range all the same
PORT_LIMIT = 1 << 16


class EndpointAddressError(ValueError):
    """A text is no address; the message is one line."""


def read_address(text: object) -> EndpointAddress:
    """The address in a text such as `10.0.0.1:6379`; EndpointAddressError where it is none."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_number = port.isascii() and port.isdecimal()
    if not colon or not host or not is_number or not 0 < int(port[:MAX_PORT_DIGITS]) < PORT_LIMIT:
        raise EndpointAddressError(f"{abbreviated(text)} is not an address")
    return host, int(port)
