"""The plot of the fleet's experiment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from statistics import mean

import matplotlib

matplotlib.use("Agg")

BAR_WIDTH = 0.2


def plot_fleet(file: Path, figures: Mapping[tuple[str, str], list]) -> None:
    """Draw the long streams in aim: a group of bars a situation, a bar a policy."""
    from matplotlib import pyplot

    situations = list(dict.fromkeys(name for name, _ in figures))
    policies = list(dict.fromkeys(policy for _, policy in figures))
    figure, panel = pyplot.subplots(figsize=(12, 4))
    for place, policy in enumerate(policies):
        heights = [mean(r.in_aim for r in figures[name, policy]) for name in situations]
        left = [x + place * BAR_WIDTH for x in range(len(situations))]
        panel.bar(left, heights, BAR_WIDTH, label=policy)
    panel.set_xticks([x + 1.5 * BAR_WIDTH for x in range(len(situations))], situations)
    panel.tick_params(axis="x", labelrotation=20)
    panel.set_ylabel("long streams in aim")
    panel.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=80)
