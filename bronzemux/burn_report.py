"""Burn rate report as text, JSON and a self-contained HTML page with plots."""

import base64
import dataclasses
import html
import io
import json
import math
from collections.abc import Sequence

from bronzemux import burn

PLOT_INCHES = (7.0, 2.2)
PAGE_STYLE = (
    "body{font:15px/1.4 sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{padding:.3em .7em;border-bottom:1px solid #ccc;"
    "text-align:right}td:first-child,td:nth-child(2),th:first-child{text-align:left}"
    ".alert{color:#a00;font-weight:bold}"
)


def text(rows: Sequence[burn.Burn]) -> str:
    """Return the report for a terminal."""
    head = f"{'workload':18s} {'objective':14s} {'target':>8s} {'good':>10s} {'all':>10s}"
    lines = [f"{head} {'burn rate':>10s} {'budget left':>12s} {'exhausted in':>13s}"]
    for row in rows:
        lines.append(
            f"{row.workload:18s} {row.objective:14s} {row.target:8.4f} {row.good:10.0f} "
            f"{row.total:10.0f} {row.burn_rate:10.2f} {row.budget_left:11.1%} "
            f"{_format_hours(row.exhausted_hours):>13s}"
        )
        for alert in row.alerts:
            lines.append(f"  {_alert_text(alert)}")
    return "\n".join(lines)


def to_json(rows: Sequence[burn.Burn]) -> str:
    """Return the report as JSON, with null `exhausted_hours` for budgets that are never used up."""
    items = []
    for row in rows:
        item = dataclasses.asdict(row)
        if math.isinf(row.exhausted_hours):
            item["exhausted_hours"] = None
        items.append(item)
    return json.dumps(items, indent=2)


def to_html(rows: Sequence[burn.Burn], series: burn.Series, title: str) -> str:
    """Return the report as one HTML page without references to other files.

    Args:
      rows: State of every objective.
      series: Samples for the plots.
      title: Heading of the page.
    """
    cells = "".join(_html_row(row) for row in rows)
    plots = "".join(_html_plot(row, series[row.workload, row.objective]) for row in rows)
    heading = html.escape(title)
    names = ("workload", "objective", "target", "good", "all", "burn rate", "budget left")
    heads = "".join(f"<th>{name}</th>" for name in (*names, "exhausted in"))
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{heading}</title>"
        f"<style>{PAGE_STYLE}</style><h1>{heading}</h1><table><tr>{heads}</tr>{cells}</table>"
        f"{plots}</html>"
    )


def _html_row(row: burn.Burn) -> str:
    values = (
        html.escape(row.workload),
        row.objective,
        f"{row.target:.4f}",
        f"{row.good:.0f}",
        f"{row.total:.0f}",
        f"{row.burn_rate:.2f}",
        f"{row.budget_left:.1%}",
        _format_hours(row.exhausted_hours),
    )
    cells = "".join(f"<td>{value}</td>" for value in values)
    alerts = "".join(
        f"<tr><td class='alert' colspan='8'>{html.escape(_alert_text(alert))}</td></tr>"
        for alert in row.alerts
    )
    return f"<tr>{cells}</tr>{alerts}"


def _html_plot(row: burn.Burn, samples: Sequence[burn.Sample]) -> str:
    """Return a plot of the burn rate between samples, embedded as PNG; empty below 3 samples."""
    if len(samples) < 3:
        return ""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_INCHES)
    start = samples[0].at_hours
    hours = [sample.at_hours - start for sample in samples[1:]]
    pairs = zip(samples, samples[1:], strict=False)
    rates = [burn.window_burn_rate(pair, burn.INFINITY, row.target) for pair in pairs]
    axes.step(hours, rates, where="pre")
    axes.axhline(1.0, linestyle=":", color="gray")
    axes.set_title(f"{row.workload}: {row.objective}", fontsize=9)
    axes.set_xlabel("hours")
    axes.set_ylabel("burn rate")
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    pyplot.close(figure)
    encoded_png = base64.b64encode(buffer.getvalue()).decode()
    return f"<p><img alt='burn rate' src='data:image/png;base64,{encoded_png}'></p>"


def _alert_text(alert: burn.Alert) -> str:
    rule = alert.rule
    return (
        f"{rule.name}: burn rate {alert.long_rate:.1f} over {rule.long_hours:g} h and "
        f"{alert.short_rate:.1f} over {rule.short_hours:.2g} h, limit {rule.rate:g}; {alert.remedy}"
    )


def _format_hours(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.1f} h"
