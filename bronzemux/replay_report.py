"""Reports of replays as tables, JSON and plots."""

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


def _row_cells(summary: replay_summary.Summary) -> list[str]:
    """Return the cells of one row, in the order of `COLUMNS`."""
    first_token_cells = [f"{summary.first_token[p]:.3f}" for p in replay_summary.PERCENTILES]
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
        *first_token_cells,
        f"{summary.goodput:.1f}",
        f"{summary.retry_ratio:.4f}",
    ]


def summary_table(rows: Sequence[replay_summary.Summary]) -> str:
    """Return a table with one row per run."""
    lines = ["  ".join(name.rjust(width) for name, width in COLUMNS)]
    for row in rows:
        pairs = zip(_row_cells(row), COLUMNS, strict=True)
        lines.append("  ".join(cell.rjust(width) for cell, (_, width) in pairs))
    return "\n".join(lines)


def phase_table(runs: Sequence[replay.Replay]) -> str:
    """Return a table of the 99th percentile of time to first token by phase, named by its fault."""
    labels = {0.0: "start"} | {fault.at_seconds: fault.kind for fault in runs[0].plan.faults}
    policy_names = "".join(run.total.policy.rjust(18) for run in runs)
    lines = [f"{'phase':>24s}{policy_names}"]
    phases = [run.phases() for run in runs]
    for position, (start, _) in enumerate(phases[0]):
        values = "".join(
            f"{run_phases[position][1].first_token[99.0]:18.3f}" for run_phases in phases
        )
        lines.append(f"{start:8.0f} s {labels[start]:>13s}{values}")
    return "\n".join(lines)


def team_table(runs: Sequence[replay.Replay]) -> str:
    """Return a table of the 99th percentile of time to first token by team."""
    lines = ["team".rjust(24) + "".join(run.total.policy.rjust(18) for run in runs)]
    summaries = [run.total.summarize(run.plan.duration_seconds) for run in runs]
    for share in runs[0].plan.shares:
        values = "".join(f"{s.team_first_token.get(share.team, 0.0):18.3f}" for s in summaries)
        lines.append(f"{share.team:>24s}{values}")
    return "\n".join(lines)


def to_json(runs: Sequence[replay.Replay]) -> str:
    """Return the summaries of the runs and their phases as JSON."""
    result = []
    for run in runs:
        total = _summary_fields(run.total.summarize(run.plan.duration_seconds))
        phases = [{"start": start, **_summary_fields(summary)} for start, summary in run.phases()]
        result.append({**total, "phases": phases})
    return json.dumps(result, indent=2)


def _summary_fields(summary: replay_summary.Summary) -> dict:
    return {
        **vars(summary),
        "hit_rate": summary.hit_rate,
        "bound_hit_rate": summary.bound_hit_rate,
        "waste_ratio": summary.waste_ratio,
        "waste_ratio_after_losses": summary.waste_ratio_after_losses,
        "retry_ratio": summary.retry_ratio,
    }


def plot(runs: Sequence[replay.Replay], path: pathlib.Path) -> None:
    """Write a plot of the 99th percentile of time to first token by phase.

    Args:
      runs: Runs of the same traffic under different policies.
      path: File to write; the extension selects the format.

    Raises:
      ImportError: When matplotlib, which the plot extra requires, is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_INCHES, dpi=PLOT_DPI)
    for run in runs:
        phases = run.phases()
        starts = [start for start, _ in phases] + [run.plan.duration_seconds]
        values = [summary.first_token[99.0] for _, summary in phases]
        axes.step(starts, [*values, values[-1]], where="post", label=run.total.policy)
    axes.set_yscale("log")
    axes.set_xlabel("time in the run, s")
    axes.set_ylabel("first token, 99th percentile, s")
    axes.set_title(f"{runs[0].plan.deployment}: {runs[0].plan.requests_per_second:g} requests/s")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
