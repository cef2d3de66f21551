"""Addresses of a host and a port, in the form that asyncio and sockets use."""

from molereach.protocol.settings_reader import abbreviated

EndpointAddress = tuple[str, int]  # host, port

MAX_PORT_DIGITS = 6  # more are cut off before the conversion; six digits suffice to be out of range
PORT_LIMIT = 1 << 16  # ports are below it


class EndpointAddressError(ValueError):
    """A text is not an address; the message is one line."""


def read_address(text: object) -> EndpointAddress:
    """Parse an address such as `10.0.0.1:6379`; EndpointAddressError if it is malformed."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_number = port.isascii() and port.isdecimal()
    if not colon or not host or not is_number or not 0 < int(port[:MAX_PORT_DIGITS]) < PORT_LIMIT:
        raise EndpointAddressError(f"{abbreviated(text)} is not an address")
    return host, int(port)
