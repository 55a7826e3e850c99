"""Sub-command ``capacity``."""

from __future__ import annotations

from pathlib import Path

from ..capacity.page import write_page


def capacity(
    *,
    measurements: Path = Path("docs/measurements"),
    out: Path = Path("docs/CAPACITY.md"),
) -> int:
    """Write the capacity page anew from the measured figures.

    :param measurements: folder with the results of the measuring tools
    :param out: the page
    :return: exit status
    """
    write_page(measurements, out)
    return 0
