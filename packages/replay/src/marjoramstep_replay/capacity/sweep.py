"""Loads of the processes measured at several numbers of VMs."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from . import target


if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME = "bench-sweep.json"


@dataclass(frozen=True)
class SweepFigure:
    """One figure of one kind of process at each number of VMs.

    :param what: process, figure and unit
    :param mean: mean over the processes, for each number of VMs
    :param highest: value of the process with the highest load
    """

    what: str
    mean: tuple[float, ...]
    highest: tuple[float, ...]


@dataclass(frozen=True)
class Sweep:
    """Results of one sweep.

    :param journal: id of its journal entry
    :param vms: numbers of VMs, rising
    :param figures: measured figures
    """

    journal: str
    vms: tuple[int, ...]
    figures: tuple[SweepFigure, ...]

    def slope(self, figure: SweepFigure) -> float:
        """Return the slope of the highest load between the first and the last size.

        :param figure: a figure of this sweep
        :return: growth for each VM, in the figure's unit
        """
        return (figure.highest[-1] - figure.highest[0]) / (self.vms[-1] - self.vms[0])

    def at_target(self, figure: SweepFigure) -> float:
        """Extrapolate the highest load in a straight line to the target.

        :param figure: a figure of this sweep
        :return: load at the target size, not below the last one measured
        """
        growth = self.slope(figure) * (target.NODES - self.vms[-1])
        return max(figure.highest[-1] + growth, figure.highest[-1])

    def growth_power(self, figure: SweepFigure) -> float:
        """Return the power of the number of VMs as which the highest load grows.

        :param figure: a figure of this sweep
        :return: about 0 if it stays the same, 1 if it grows in proportion
        """
        growth = math.log(figure.highest[-1] / figure.highest[0])
        return growth / math.log(self.vms[-1] / self.vms[0])


def read_sweep(folder: Path) -> Sweep:
    """Read the results of the sweep.

    :param folder: folder with the measurements
    :return: the sweep
    :raises OSError: if the file is missing
    :raises KeyError: if a value is missing
    """
    document = json.loads((folder / FILE_NAME).read_text("utf-8"))
    return Sweep(
        document["journal"],
        tuple(document["vms"]),
        tuple(
            SweepFigure(entry["what"], tuple(entry["mean"]), tuple(entry["highest"]))
            for entry in document["figures"]
        ),
    )


def render_sweep(sweep: Sweep) -> list[str]:
    """Render the section of the capacity page.

    :param sweep: the results
    :return: lines of Markdown
    """
    sizes = [f"{count} VMs, mean / highest" for count in sweep.vms]
    lines = [
        "## Measured slopes",
        "",
        f"One day of the users' bench at {len(sweep.vms)} sizes (journal "
        f"{sweep.journal}, one run each, calls included). The power says how the "
        "highest load grows with the number of VMs: 0 stays the same, 1 grows in "
        f"proportion. The last column carries the slope on to {target.NODES:,} nodes; "
        "it was not played.",
        "",
        f"| what | {' | '.join(sizes)} | power | highest at the target |",
        "|---" * (len(sizes) + 3) + "|",
    ]
    for figure in sweep.figures:
        cells = [
            f"{mean:g} / {highest:g}"
            for mean, highest in zip(figure.mean, figure.highest, strict=True)
        ]
        power, value = sweep.growth_power(figure), sweep.at_target(figure)
        lines.append(
            f"| {figure.what} | {' | '.join(cells)} | {power:.2f} | {value:,.0f} |"
        )
    return [
        *lines,
        "",
        "Nodes stay the same. In the replica with the highest load connections grow "
        "with the number of nodes, since each node connects to every voter, and bytes "
        "faster: 299 nodes get 4 lists of 75 members with 156 bytes each, which makes "
        "14 MB of the 16 MB that it sends in 45 s. At the target a node calls more "
        "services with fewer members.",
        "",
    ]
