"""Writes a type stub for the generated message classes to standard output."""

from __future__ import annotations

import inspect
import sys
from typing import Any

from marjoramstep_wire.generated import ttypes
from thrift.Thrift import TType


SCALARS = {
    TType.BOOL: "bool",
    TType.I32: "int",
    TType.I64: "int",
    TType.DOUBLE: "float",
}


def type_name(thrift_type: int, argument: Any) -> str:
    """Return the Python type of a thrift field.

    :param thrift_type: type code of the field
    :param argument: type argument from the generated specification
    :return: text of the annotation
    """
    if thrift_type == TType.STRING:
        return "bytes" if argument == "BINARY" else "str"
    if thrift_type == TType.STRUCT:
        return str(argument[0].__name__)
    if thrift_type == TType.LIST:
        return f"list[{type_name(argument[0], argument[1])}]"
    return SCALARS[thrift_type]


def main() -> None:
    """Print the stub to standard output."""
    lines = ["from __future__ import annotations", "", "from typing import Any", ""]
    for name, cls in inspect.getmembers(ttypes, inspect.isclass):
        if cls.__module__ != ttypes.__name__:
            continue
        fields = [
            (spec[2], type_name(spec[1], spec[3])) for spec in cls.thrift_spec if spec
        ]
        lines.append(f"class {name}:")
        lines.append("    thrift_spec: Any")
        lines.extend(f"    {field}: {annotation}" for field, annotation in fields)
        arguments = ", ".join(f"{field}: {annotation}" for field, annotation in fields)
        lines.append(f"    def __init__(self, *, {arguments}) -> None: ...")
        lines.append("    def read(self, iprot: Any) -> None: ...")
        lines.append("    def write(self, oprot: Any) -> None: ...")
        lines.append("    def validate(self) -> None: ...")
        lines.append("")
    sys.stdout.write("\n".join(lines))


if __name__ == "__main__":
    main()
