"""Runs behave and prints a closing line counted from its JSON report.

Scenarios that KNOWN-RED.txt lists are skipped by ``features/environment.py`` and
printed here.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path


FAILED_STATES = frozenset({"failed", "error", "undefined", "hook_error", "untested"})


def count_scenarios(report_path: Path) -> Counter[str]:
    """Count scenarios by result.

    :param report_path: JSON report of behave
    :return: counts under ``passed``, ``failed`` and ``skipped``
    """
    counts: Counter[str] = Counter()
    for feature in json.loads(report_path.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status = element.get("status", "untested")
            if status in FAILED_STATES:
                status = "failed"
            counts[status] += 1
    return counts


def main() -> int:
    """Run all features, or those named on the command line.

    :return: 0 if at least one scenario ran and none failed
    """
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "progress"]
        command += ["--outfile", "/dev/stdout", "--format", "json"]
        command += ["--outfile", str(report_path), *sys.argv[1:]]
        status = subprocess.run(command, check=False).returncode
        counts = count_scenarios(report_path)
    passed, failed = counts["passed"], counts["failed"]
    sys.stdout.write(
        f"\n{passed} passed, {failed} failed, {counts['skipped']} skipped\n"
    )
    return 1 if status or failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
