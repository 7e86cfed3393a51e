"""Error budget burn rates from the routers' metrics, with multi-window, multi-burn-rate alerts.

The windows and rates are those of the Site Reliability Workbook, chapter 5. Histograms of all
routers are added bucket by bucket; percentiles are never averaged.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from prometheus_client import parser

from bronzemux import config

OBJECTIVE_PERIOD_HOURS = 30 * 24.0
LATENCY_TARGET_FRACTION = 0.95
INFINITY = float("inf")


@dataclasses.dataclass(frozen=True)
class Rule:
    """An alert rule.

    Attributes:
      name: ``page`` or ``ticket``.
      long_hours: Long window.
      short_hours: Short window, which clears the alert soon after the errors stop.
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
    "availability": "check refusals and attempt_failures by kind; drain failing endpoints",
    "first token": "check waiting_requests and cached_tokens; use preset peak",
    "token gap": "check the token rates of endpoints in `bronzemux-ctl status`; drain slow ones",
    "unknown": "check attempt_failures and the table service; "
    "ask the called service which requests ran",
}


@dataclasses.dataclass(frozen=True)
class Sample:
    """Cumulative counts of good events and all events of an objective.

    Attributes:
      at_hours: Time of the sample in hours since an arbitrary origin.
      good: Events that met the objective.
      total: All events.
    """

    at_hours: float
    good: float
    total: float


@dataclasses.dataclass(frozen=True)
class Alert:
    """A firing alert rule.

    Attributes:
      rule: The rule.
      long_rate: Burn rate over the long window.
      short_rate: Burn rate over the short window.
      remedy: What an operator should check and do.
    """

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
      target: Fraction of events that should be good.
      good: Good events in the observed time.
      total: All events in the observed time.
      burn_rate: Rate at which the error budget is used; 1 uses it up in exactly the period.
      budget_left: Fraction of the period's error budget that is left; negative when overspent.
      exhausted_hours: Hours until the budget is used up at this rate.
      alerts: Firing alerts.
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


def merge_metrics(expositions: Iterable[str]) -> dict[tuple[str, tuple], float]:
    """Return the sum of each sample over the metrics of several routers.

    Args:
      expositions: Metrics in the Prometheus text format, one text per router.
    """
    totals: dict[tuple[str, tuple], float] = collections.defaultdict(float)
    for text in expositions:
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                totals[sample.name, tuple(sorted(sample.labels.items()))] += sample.value
    return dict(totals)


def count_events(merged, document: config.Config) -> dict[tuple[str, str], tuple[float, float]]:
    """Return the numbers of good events and all events by workload and objective.

    Args:
      merged: Result of `merge_metrics`.
      document: Configuration with the objectives.

    Returns:
      Pairs of good and all events; objectives without events are omitted.
    """
    result = {}
    for workload in document.workloads:
        name, objective = workload.name, workload.objective
        total, failed, unknown = _count_requests(merged, name)
        result[name, "availability"] = (total - failed, total)
        result[name, "unknown"] = (total - unknown, total)
        limits = (
            ("first token", "bronzemux_first_token_seconds", objective.first_token_seconds),
            ("token gap", "bronzemux_token_gap_seconds", objective.token_gap_seconds),
        )
        for label, metric, limit in limits:
            result[name, label] = _count_within_limit(merged, metric, name, limit)
    return {key: counts for key, counts in result.items() if counts[1]}


def _count_requests(merged, workload: str) -> tuple[float, float, float]:
    """Return the numbers of all requests, failed requests and requests of unknown outcome.

    Status 499, recorded when the caller disconnects during a response, does not count as an
    unknown outcome.
    """
    total = failed = unknown = 0.0
    for (name, labels), value in merged.items():
        fields = dict(labels)
        if name != "bronzemux_requests_total" or fields["workload"] != workload:
            continue
        total += value
        failed += value * fields["status"].startswith("5")
        unknown += value * (fields["outcome"] == "unknown" and fields["status"] != "499")
    return total, failed, unknown


def _count_within_limit(merged, metric: str, workload: str, limit: float) -> tuple[float, float]:
    """Return the numbers of events within a limit and of all events.

    A bucket whose upper bound exceeds the limit does not count as within it.
    """
    good = total = 0.0
    for (name, labels), value in merged.items():
        fields = dict(labels)
        if name != f"{metric}_bucket" or fields["workload"] != workload:
            continue
        bound = float(fields["le"])
        if bound == INFINITY:
            total = value
        elif bound <= limit:
            good = max(good, value)
    return good, total


def target_fraction(workload: config.Workload, objective: str) -> float:
    """Return the fraction of events that should be good."""
    if objective in ("availability", "unknown"):
        return workload.objective.availability
    return LATENCY_TARGET_FRACTION


def evaluate(series: Series, document: config.Config) -> list[Burn]:
    """Return the state of every objective.

    Args:
      series: Samples by workload and objective, in order of time, with non-decreasing counts.
      document: Configuration with the objectives.
    """
    workloads = {workload.name: workload for workload in document.workloads}
    return [
        _evaluate_objective(name, objective, samples, target_fraction(workloads[name], objective))
        for (name, objective), samples in sorted(series.items())
        if name in workloads
    ]


def _evaluate_objective(
    name: str, objective: str, samples: Sequence[Sample], target: float
) -> Burn:
    first, last = samples[0], samples[-1]
    good, total = last.good - first.good, last.total - first.total
    if len(samples) == 1:
        # There is no earlier sample to subtract: report the counts since the routers started.
        good, total = last.good, last.total
    hours = last.at_hours - first.at_hours
    burn_rate = _burn_rate(good, total, target)
    period_fraction = min(1.0, hours / OBJECTIVE_PERIOD_HOURS) if hours else 0.0
    budget_left = 1.0 - burn_rate * period_fraction
    exhausted_hours = (
        max(0.0, budget_left) * OBJECTIVE_PERIOD_HOURS / burn_rate if burn_rate > 0 else INFINITY
    )
    alerts = tuple(_alerts(samples, target, objective))
    return Burn(
        name, objective, target, good, total, burn_rate, budget_left, exhausted_hours, alerts
    )


def _burn_rate(good: float, total: float, target: float) -> float:
    """Return the fraction of errors as a multiple of the error budget."""
    if not total:
        return 0.0
    return (1.0 - good / total) / max(1e-9, 1.0 - target)


def _alerts(samples: Sequence[Sample], target: float, objective: str) -> Iterable[Alert]:
    for rule in RULES:
        long_rate = window_burn_rate(samples, rule.long_hours, target)
        short_rate = window_burn_rate(samples, rule.short_hours, target)
        if long_rate > rule.rate and short_rate > rule.rate:
            yield Alert(rule, long_rate, short_rate, REMEDIES[objective])


def window_burn_rate(samples: Sequence[Sample], hours: float, target: float) -> float:
    """Return the burn rate over a window that ends at the last sample.

    Args:
      samples: Samples in order of time.
      hours: Length of the window; the whole series is used when it is shorter.
      target: Fraction of events that should be good.
    """
    last = samples[-1]
    start = samples[0]
    for sample in samples:
        if sample.at_hours > last.at_hours - hours:
            break
        start = sample
    return _burn_rate(last.good - start.good, last.total - start.total, target)
