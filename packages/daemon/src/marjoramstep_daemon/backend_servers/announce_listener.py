"""HTTP endpoint that takes the announcements of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_core.errors import InvalidInputError

from .announcement import Announcement


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BODY_LIMIT_BYTES = 65_536


def make_announce_app(
    announce: Callable[[Announcement], Awaitable[None]],
) -> web.Application:
    """Build the HTTP application that takes announcements.

    :param announce: called with each validated announcement
    :return: application that serves ``POST /announce``
    """

    async def handle(request: web.Request) -> web.Response:
        try:
            document = await request.json()
        except (ValueError, LookupError, RecursionError):
            return web.json_response({"error": "expected a JSON document"}, status=400)
        try:
            await announce(Announcement.from_json(document))
        except InvalidInputError as error:
            return web.json_response({"error": error.message}, status=422)
        return web.json_response({})

    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app.router.add_post("/announce", handle)
    return app
