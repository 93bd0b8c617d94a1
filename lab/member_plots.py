"""Plots of the membership measurements: a panel for each measurement, a line for each variant.

Requires matplotlib.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

Result = dict[str, Any]  # as returned by ``member_study.measure``

# By variant of the membership protocol, a key of ``member_baselines.VARIANTS``.
COLORS = {"birchdrum": "#1b6ca8", "swim": "#d1603d", "heartbeats": "#7a7a7a"}
RATE_BASE = 100.0  # member hours that rates refer to


def _group_by(results: Iterable[Result], *keys: str) -> dict[tuple[Any, ...], list[Result]]:
    groups: dict[tuple[Any, ...], list[Result]] = {}
    for result in results:
        groups.setdefault(tuple(result[key] for key in keys), []).append(result)
    return dict(sorted(groups.items()))


def _plot_times(axes: Axes, results: list[Result], title: str) -> None:
    """Plot the cumulative distribution of the measured times; ``title`` says of what."""
    for (variant, size, loss), group in _group_by(results, "variant", "size", "loss").items():
        times = np.sort(np.concatenate([result["seconds"] for result in group]))
        style = {0.0: "-", 0.1: "--", 0.2: ":"}.get(loss, "-.")
        label = f"{variant}, {size}" + (f", {loss:.0%} lost" if loss else "")
        width = 1.0 if size == 30 else 2.0  # 30 members: the default
        axes.step(
            times,
            np.arange(1, len(times) + 1) / len(times),
            where="post",
            label=label,
            color=COLORS.get(variant),
            linestyle=style,
            linewidth=width,
        )
    axes.set(title=title, xlabel="seconds", ylabel="fraction", ylim=(0, 1.02), xlim=(0, None))


def _plot_false_deaths(axes: Axes, results: list[Result]) -> None:
    """Plot the number of false death declarations in RATE_BASE member hours against the message loss."""
    for (variant, size), group in _group_by(results, "variant", "size").items():
        losses = _group_by(group, "loss")
        rates = [
            RATE_BASE
            * sum(result["false"] for result in same_loss)
            / sum(result["hours"] for result in same_loss)
            for same_loss in losses.values()
        ]
        axes.plot(
            [100 * loss for (loss,) in losses],
            [max(rate, 1.0) for rate in rates],
            marker="o",
            color=COLORS.get(variant),
            label=f"{variant}, {size}",
        )
    axes.set(title="declared dead while running", xlabel="% of messages lost", ylabel="in 100 member hours")
    axes.set_yscale("log")
    axes.text(0.02, 0.02, "rates below 1 are drawn at 1", transform=axes.transAxes, fontsize=8)


def _plot_false_deaths_with_pauses(axes: Axes, results: list[Result]) -> None:
    """Plot the rate of false death declarations while one in ten members is paused."""
    groups = _group_by(results, "variant")
    rates = [
        RATE_BASE * sum(result["false"] for result in group) / sum(result["hours"] for result in group)
        for group in groups.values()
    ]
    bars = axes.bar(
        [variant for (variant,) in groups], rates, color=[COLORS.get(variant) for (variant,) in groups]
    )
    axes.bar_label(bars, fmt="%.0f")
    axes.set(title="declared dead while running, one in ten paused", ylabel="in 100 member hours")


def _plot_idle_traffic(axes: Axes, results: list[Result]) -> None:
    """Plot the datagrams per member and second without faults against the fleet size."""
    for (variant,), group in _group_by(results, "variant").items():
        sizes = _group_by(group, "size")
        rates = [float(np.mean([result["messages"] for result in same_size])) for same_size in sizes.values()]
        axes.plot([size for (size,) in sizes], rates, marker="o", color=COLORS.get(variant), label=variant)
    axes.set(
        title="datagrams without faults", xlabel="members", ylabel="per member and second", ylim=(0, None)
    )
    axes.set_xscale("log")


PANELS: dict[str, Callable[[Axes, list[Result]], None]] = {
    "kill": lambda axes, results: _plot_times(axes, results, "time until a kill is detected by each member"),
    "name": lambda axes, results: _plot_times(axes, results, "time until a one-way link failure is reported"),
    "heal": lambda axes, results: _plot_times(axes, results, "time to converge after a partition of 10 s"),
    "false": _plot_false_deaths,
    "pauses": _plot_false_deaths_with_pauses,
    "rest": _plot_idle_traffic,
}


def draw(results: list[Result], file: Path) -> None:
    """Draw a panel for each measurement with results. The suffix of the file sets the image format."""
    mpl.use("agg")
    measurements = [what for what in PANELS if any(result["what"] == what for result in results)]
    columns = min(3, len(measurements))
    rows = -(-len(measurements) // columns)
    figure = Figure(figsize=(5.2 * columns, 3.9 * rows), layout="constrained")
    for position, what in enumerate(measurements):
        axes = figure.add_subplot(rows, columns, position + 1)
        PANELS[what](axes, [result for result in results if result["what"] == what])
        axes.grid(alpha=0.3)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize=7)
    figure.savefig(file, dpi=110)
