"""The plot of the experiments."""

from __future__ import annotations

from pathlib import Path
from statistics import median

import matplotlib

from devtools.bench.experiment import Figures, Job

matplotlib.use("Agg")

PANELS = (
    ("preemptions", "preemptions for 1,000 generations"),
    ("stall_p99", "stall p99 (s)"),
    ("gap_p99", "time between tokens p99 (s)"),
    ("goodput", "goodput (tokens a second)"),
)


def plot(file: Path, done: dict[Job, Figures]) -> None:
    """Draw the medians against the load, a row of panels for each mix."""
    from matplotlib import pyplot

    mixes = list(dict.fromkeys(job.mix for job in done))
    figure, axes = pyplot.subplots(
        len(mixes),
        len(PANELS),
        figsize=(5 * len(PANELS), 4 * len(mixes)),
        squeeze=False,
    )
    for row, mix in enumerate(mixes):
        for column, (name, title) in enumerate(PANELS):
            _draw(axes[row][column], done, mix, name)
            axes[row][column].set_title(f"{mix.name}: {title}")
            axes[row][column].set_xlabel("load")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(file, dpi=80)


def _draw(panel: object, done: dict[Job, Figures], mix: object, name: str) -> None:
    policies = list(dict.fromkeys(job.policy for job in done))
    for policy in policies:
        points: dict[float, list[float]] = {}
        for job, figures in done.items():
            if job.mix is mix and job.policy == policy and "load" in job.situation.name:
                points.setdefault(job.situation.load, []).append(getattr(figures, name))
        loads = sorted(points)
        panel.plot(loads, [median(points[x]) for x in loads], marker="o", label=policy)
