"""Command ``token new``."""

from __future__ import annotations

import hashlib
import secrets

from ..errors import ExitStatus
from ..output import write_fields
from ..output import write_json
from ..registry import command


NAME = "token new"
DESCRIPTION = "Print a new token and its SHA-256 for the settings."
TOKEN_BYTES = 32


@command(NAME, DESCRIPTION)
def handler(*, json: bool = False) -> int:
    """Write the token, which is kept nowhere else."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    document = {"token": token, "token_sha256": digest}
    if json:
        write_json(document)
    else:
        write_fields(document)
    return ExitStatus.OK
