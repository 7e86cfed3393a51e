"""Reports of measurements as tables, JSON and plots."""

import json
import pathlib
from collections.abc import Sequence

from bronzemux import replay, replay_summary

COLUMNS = (
    ("policy", 15),
    ("answered", 9),
    ("shed", 6),
    ("failed", 6),
    ("hit rate", 8),
    ("of bound", 8),
    ("computed/compulsory", 19),
    ("after losses", 12),
    ("imported", 9),
    ("p50 s", 7),
    ("p95 s", 7),
    ("p99 s", 7),
    ("p99.9 s", 7),
    ("goodput/s", 9),
    ("retries", 8),
)
PLOT_INCHES = (9.0, 4.5)
PLOT_DPI = 100


def cells(summary: replay_summary.Summary) -> list[str]:
    """Return the cells of one row."""
    first = [f"{summary.first_token[p]:.3f}" for p in replay_summary.PERCENTILES]
    return [
        summary.policy,
        str(summary.answered),
        str(summary.shed),
        str(summary.failed),
        f"{summary.hit_rate:.4f}",
        f"{summary.hit_rate / summary.bound_hit_rate:.4f}",
        f"{summary.waste_ratio:.3f}",
        f"{summary.waste_ratio_after_losses:.3f}",
        str(summary.imported_tokens),
        *first,
        f"{summary.goodput:.1f}",
        f"{summary.retry_ratio:.4f}",
    ]


def table(rows: Sequence[replay_summary.Summary]) -> str:
    """Return a table of whole runs."""
    lines = ["  ".join(name.rjust(width) for name, width in COLUMNS)]
    for row in rows:
        pairs = zip(cells(row), COLUMNS, strict=True)
        lines.append("  ".join(cell.rjust(width) for cell, (_, width) in pairs))
    return "\n".join(lines)


def phase_table(rows: Sequence[replay.Replay]) -> str:
    """Return a table of the 99th percentile of the first token by phase, with the phase's fault."""
    labels = {0.0: "start"} | {f.at_seconds: f.kind for f in rows[0].plan.faults}
    names = "".join(run.total.policy.rjust(18) for run in rows)
    lines = [f"{'phase':>24s}{names}"]
    phases = [run.phases() for run in rows]
    for position, (start, _) in enumerate(phases[0]):
        values = "".join(f"{p[position][1].first_token[99.0]:18.3f}" for p in phases)
        lines.append(f"{start:8.0f} s {labels[start]:>13s}{values}")
    return "\n".join(lines)


def team_table(rows: Sequence[replay.Replay]) -> str:
    """Return a table of the 99th percentile of the first token by team."""
    lines = ["team".rjust(24) + "".join(run.total.policy.rjust(18) for run in rows)]
    summaries = [run.total.summarize(run.plan.duration_seconds) for run in rows]
    for share in rows[0].plan.shares:
        values = "".join(f"{s.team_first_token.get(share.team, 0.0):18.3f}" for s in summaries)
        lines.append(f"{share.team:>24s}{values}")
    return "\n".join(lines)


def to_json(rows: Sequence[replay.Replay]) -> str:
    """Return whole runs and phases as JSON."""
    result = []
    for run in rows:
        total = _fields(run.total.summarize(run.plan.duration_seconds))
        phases = [{"start": start, **_fields(summary)} for start, summary in run.phases()]
        result.append({**total, "phases": phases})
    return json.dumps(result, indent=2)


def _fields(summary: replay_summary.Summary) -> dict:
    return {
        **vars(summary),
        "hit_rate": summary.hit_rate,
        "bound_hit_rate": summary.bound_hit_rate,
        "waste_ratio": summary.waste_ratio,
        "waste_ratio_after_losses": summary.waste_ratio_after_losses,
        "retry_ratio": summary.retry_ratio,
    }


def plot(rows: Sequence[replay.Replay], path: pathlib.Path) -> None:
    """Write a plot of the 99th percentile of the first token by phase.

    Args:
      rows: Runs of the same traffic under different policies.
      path: File to write; its ending gives the format.

    Raises:
      ImportError: When matplotlib, which the plot extra brings, is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_INCHES, dpi=PLOT_DPI)
    for run in rows:
        phases = run.phases()
        starts = [start for start, _ in phases] + [run.plan.duration_seconds]
        values = [summary.first_token[99.0] for _, summary in phases]
        axes.step(starts, [*values, values[-1]], where="post", label=run.total.policy)
    axes.set_yscale("log")
    axes.set_xlabel("time in the run, s")
    axes.set_ylabel("first token, 99th percentile, s")
    axes.set_title(f"{rows[0].plan.deployment}: {rows[0].plan.requests_per_second:g} requests/s")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
