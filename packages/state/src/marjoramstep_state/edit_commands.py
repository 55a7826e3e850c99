"""Commands that change the table, which has a row for each kind of call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import ClassVar

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import OperatorName
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.packing import pack
from marjoramstep_core.packing import unpack
from marjoramstep_core.table import EditOperation

from .command import COMMANDS
from .errors import InvalidCommandError
from .fields import Fields
from .fields import encode_base64
from .limits import COMMAND_LIMIT_BYTES


@COMMANDS.register("edit-table")
@dataclass(frozen=True)
class EditTable:
    """Edit of the table with compare-and-set on its version.

    The version rises by 1 with each accepted edit or replacement.

    :param log_time_ms: time of the log entry
    :param edit_key: chosen by the operator's client; the same in a resend
    :param base_version: version that the edit is based on
    :param operator: operator who made the edit
    :param origin: address that the request came from
    :param operations: operations, applied atomically
    """

    kind: ClassVar[str] = "edit-table"
    log_time_ms: int
    edit_key: EditKey
    base_version: TableVersion
    operator: OperatorName
    origin: str
    operations: tuple[EditOperation, ...]

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        operations = [operation.to_json() for operation in self.operations]
        return {**vars(self), "operations": operations}

    @classmethod
    def from_json(cls, fields: Fields) -> EditTable:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(
            fields.time_ms("log_time_ms"),
            EditKey(fields.edit_key("edit_key")),
            TableVersion(fields.integer("base_version")),
            OperatorName(fields.non_empty_text("operator")),
            fields.text("origin"),
            tuple(map(_read_operation, fields.list_field("operations"))),
        )


@COMMANDS.register("replace-table")
@dataclass(frozen=True)
class ReplaceTable:
    """Replacement of the whole table with compare-and-set on its revision.

    The operator chooses the revision; only replacements change it.

    :param log_time_ms: time of the log entry
    :param edit_key: digest of the content, which identifies a resend
    :param revision: revision that the operator assigned to the new table
    :param base_revision: revision that the replacement is based on
    :param operator: operator who made the edit
    :param origin: address that the request came from
    :param rows: cells of all rows
    :param source: document that the operator sent, stored so that it can be read back
    """

    kind: ClassVar[str] = "replace-table"
    log_time_ms: int
    edit_key: EditKey
    revision: int
    base_revision: int
    operator: OperatorName
    origin: str
    rows: tuple[dict[str, object], ...]
    source: str

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        fields = {k: v for k, v in vars(self).items() if k not in ("rows", "source")}
        content = {"rows": list(self.rows), "source": self.source}
        return {**fields, "packed": encode_base64(pack(content))}

    @classmethod
    def from_json(cls, fields: Fields) -> ReplaceTable:
        """Decode the command; raises :class:`InvalidCommandError`."""
        content = _read_content(fields)
        return cls(
            fields.time_ms("log_time_ms"),
            EditKey(fields.edit_key("edit_key")),
            fields.integer("revision"),
            fields.integer("base_revision"),
            OperatorName(fields.non_empty_text("operator")),
            fields.text("origin"),
            tuple(map(_read_cells, content.list_field("rows"))),
            content.text("source", limit=COMMAND_LIMIT_BYTES),
        )


def _read_content(fields: Fields) -> Fields:
    """Return the fields of a replacement that are packed.

    Entries of earlier releases hold them as they are.
    """
    if fields.value("packed") is None:
        return fields
    try:
        return Fields(unpack(fields.base64_bytes("packed")))
    except InvalidInputError as error:
        raise InvalidCommandError(error.message) from error


def _read_cells(document: Any) -> dict[str, object]:
    if not isinstance(document, dict):
        raise InvalidCommandError("rows: expected an object for each row")
    for column, value in document.items():
        if isinstance(value, (dict, list)):
            raise InvalidCommandError(
                f"{column[:64]}: expected a string, a number, true or false"
            )
    return document


def _read_operation(document: Any) -> EditOperation:
    try:
        operation = EditOperation.from_json(document)
    except InvalidInputError as error:
        raise InvalidCommandError(error.message) from error
    for column, value in operation.cells.items():
        # Nested values could exceed the nesting depth that the audit trail can encode.
        if isinstance(value, (dict, list)):
            raise InvalidCommandError(
                f"{operation.row[:64]}.{column[:64]}: expected a string, a number, "
                "true or false"
            )
    return operation
