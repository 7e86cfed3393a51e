"""Service-level burn from the routers' metrics: multi-window, multi-burn-rate.

The windows and rates are those of the Site Reliability Workbook, chapter 5. Histograms of all
routers are added bucket by bucket; percentiles are never averaged.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from prometheus_client import parser

from bronzemux import config

OBJECTIVE_PERIOD_HOURS = 30 * 24.0
LATENCY_TARGET = 0.95
NEVER = float("inf")


@dataclasses.dataclass(frozen=True)
class Rule:
    """An alert rule.

    Attributes:
      name: ``page`` or ``ticket``.
      long_hours: Long window.
      short_hours: Short window, which ends the alert soon after the trouble ends.
      rate: Burn rate that both windows must exceed.
    """

    name: str
    long_hours: float
    short_hours: float
    rate: float


RULES = (
    Rule("page", 1.0, 1.0 / 12, 14.4),
    Rule("page", 6.0, 0.5, 6.0),
    Rule("ticket", 72.0, 6.0, 1.0),
)
REMEDIES = {
    "availability": "look at refusals and attempt_failures by kind; drain what fails",
    "first token": "look at waiting_requests and cached_tokens; use preset peak",
    "token gap": "look at the slowness of endpoints in `bronzemux-ctl status`; drain slow ones",
    "unknown": "look at attempt_failures and at the table service; settle them with the service",
}


@dataclasses.dataclass(frozen=True)
class Sample:
    """Good and all events of an objective up to a moment.

    Attributes:
      at_hours: Hours, on any origin.
      good: Events that met the objective.
      total: All events.
    """

    at_hours: float
    good: float
    total: float


@dataclasses.dataclass(frozen=True)
class Alert:
    """A rule that fires."""

    rule: Rule
    long_rate: float
    short_rate: float
    remedy: str


@dataclasses.dataclass(frozen=True)
class Burn:
    """State of one objective of one workload.

    Attributes:
      workload: Name of the workload.
      objective: ``availability``, ``first token``, ``token gap`` or ``unknown``.
      target: Share of events that should be good.
      good: Good events in the observed time.
      total: All events.
      burn_rate: Speed of use of the error budget; 1 uses it up in exactly the period.
      budget_left: Share of the budget of the period that is left; below 0 when overspent.
      exhausted_hours: Time until the budget is used up at this rate.
      alerts: Rules that fire.
    """

    workload: str
    objective: str
    target: float
    good: float
    total: float
    burn_rate: float
    budget_left: float
    exhausted_hours: float
    alerts: tuple[Alert, ...]


Series = Mapping[tuple[str, str], Sequence[Sample]]


def merge(expositions: Iterable[str]) -> dict[tuple[str, tuple], float]:
    """Return the sum of each sample over the metrics of several routers.

    Args:
      expositions: Metrics in the text format of Prometheus, one a router.
    """
    totals: dict[tuple[str, tuple], float] = collections.defaultdict(float)
    for text in expositions:
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                totals[sample.name, tuple(sorted(sample.labels.items()))] += sample.value
    return dict(totals)


def events(merged, document: config.Config) -> dict[tuple[str, str], tuple[float, float]]:
    """Return good and all events by workload and objective.

    Args:
      merged: Result of `merge`.
      document: Configuration with the objectives.
    """
    result = {}
    for workload in document.workloads:
        name, objective = workload.name, workload.objective
        total, failed, unknown = _requests(merged, name)
        result[name, "availability"] = (total - failed, total)
        result[name, "unknown"] = (total - unknown, total)
        limits = (
            ("first token", "bronzemux_first_token_seconds", objective.first_token_seconds),
            ("token gap", "bronzemux_token_gap_seconds", objective.token_gap_seconds),
        )
        for label, metric, limit in limits:
            result[name, label] = _within(merged, metric, name, limit)
    return {key: counts for key, counts in result.items() if counts[1]}


def _requests(merged, workload: str) -> tuple[float, float, float]:
    total = failed = unknown = 0.0
    for (name, labels), value in merged.items():
        fields = dict(labels)
        if name != "bronzemux_requests_total" or fields["workload"] != workload:
            continue
        total += value
        failed += value * fields["status"].startswith("5")
        unknown += value * (fields["outcome"] == "unknown" and fields["status"] != "499")
    return total, failed, unknown


def _within(merged, metric: str, workload: str, limit: float) -> tuple[float, float]:
    """Return events in buckets up to a limit, and all; a limit within a bucket counts it out."""
    good = total = 0.0
    for (name, labels), value in merged.items():
        fields = dict(labels)
        if name != f"{metric}_bucket" or fields["workload"] != workload:
            continue
        bound = float(fields["le"])
        if bound == NEVER:
            total = value
        elif bound <= limit:
            good = max(good, value)
    return good, total


def target_of(workload: config.Workload, objective: str) -> float:
    """Return the share of events that should be good."""
    if objective in ("availability", "unknown"):
        return workload.objective.availability
    return LATENCY_TARGET


def report(series: Series, document: config.Config) -> list[Burn]:
    """Return the burn of every objective.

    Args:
      series: Samples by workload and objective, in order of time; counters never fall.
      document: Configuration with the objectives.
    """
    workloads = {workload.name: workload for workload in document.workloads}
    return [
        _burn(name, objective, samples, target_of(workloads[name], objective))
        for (name, objective), samples in sorted(series.items())
        if name in workloads
    ]


def _burn(name: str, objective: str, samples: Sequence[Sample], target: float) -> Burn:
    first, last = samples[0], samples[-1]
    good, total = last.good - first.good, last.total - first.total
    if len(samples) == 1:
        good, total = last.good, last.total
    hours = last.at_hours - first.at_hours
    rate = _rate(good, total, target)
    share = min(1.0, hours / OBJECTIVE_PERIOD_HOURS) if hours else 0.0
    left = 1.0 - rate * share
    exhausted = max(0.0, left) * OBJECTIVE_PERIOD_HOURS / rate if rate > 0 else NEVER
    alerts = tuple(_alerts(samples, target, objective))
    return Burn(name, objective, target, good, total, rate, left, exhausted, alerts)


def _rate(good: float, total: float, target: float) -> float:
    """Return the error share as a multiple of the error budget."""
    if not total:
        return 0.0
    return (1.0 - good / total) / max(1e-9, 1.0 - target)


def _alerts(samples: Sequence[Sample], target: float, objective: str) -> Iterable[Alert]:
    for rule in RULES:
        long_rate = window_rate(samples, rule.long_hours, target)
        short_rate = window_rate(samples, rule.short_hours, target)
        if long_rate > rule.rate and short_rate > rule.rate:
            yield Alert(rule, long_rate, short_rate, REMEDIES[objective])


def window_rate(samples: Sequence[Sample], hours: float, target: float) -> float:
    """Return the burn rate over the last hours; the whole series when it is shorter."""
    last = samples[-1]
    start = samples[0]
    for sample in samples:
        if sample.at_hours > last.at_hours - hours:
            break
        start = sample
    return _rate(last.good - start.good, last.total - start.total, target)
