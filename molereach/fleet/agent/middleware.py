"""ASGI middleware of an agent's API."""

import asyncio
import contextlib
from typing import Any

from molereach.fleet.api_bodies import MAX_BODY_BYTES

DISCARD_TIMEOUT_S = 1.0  # for reading the rest of an unused body


class DiscardUnreadBody:
    """Middleware that reads the rest of a request's body, within limits, before the response is sent.

    The HTTP server (hypercorn 0.18.0) forgets an HTTP/2 stream once it has sent the response; a later DATA
    frame of that stream ends the connection with all its other streams. That still happens to a client that
    exceeds the limits.
    """

    def __init__(self, app: Any) -> None:  # noqa: ANN401
        """Wrap an ASGI application."""
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Run the application for one request."""
        # Streaming responses answer GET requests and must receive the disconnect message themselves.
        if scope["type"] != "http" or scope["method"] in ("GET", "HEAD"):
            await self.app(scope, receive, send)
            return
        body_complete = False
        discarded_bytes = 0

        async def receive_chunk() -> Any:  # noqa: ANN401
            nonlocal body_complete
            message = await receive()
            body_complete = (
                body_complete or message["type"] != "http.request" or not message.get("more_body", False)
            )
            return message

        async def send_after_body(message: Any) -> None:  # noqa: ANN401
            nonlocal discarded_bytes
            if message["type"] == "http.response.start":
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(DISCARD_TIMEOUT_S):
                        while not body_complete and discarded_bytes <= MAX_BODY_BYTES:
                            discarded_bytes += len((await receive_chunk()).get("body", b""))
            await send(message)

        await self.app(scope, receive_chunk, send_after_body)
