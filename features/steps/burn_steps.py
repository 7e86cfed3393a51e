"""Steps of burn.feature."""

import os
import pathlib
import sys
import tempfile

from behave import given, then, when
from gevent import subprocess

from bronzemux import burn, config, metrics
from features import support
from features.steps import ctl_steps

REQUESTS_PER_HOUR = 1200.0


@given(
    "a target of {target:g} and hourly samples with {count:d} errors in 1000 for {hours:d} hours"
)
def step_samples(context, target, count, hours):
    total = REQUESTS_PER_HOUR
    samples = [
        burn.Sample(float(hour), hour * total * (1 - count / 1000), hour * total)
        for hour in range(hours + 1)
    ]
    context.burn = burn._evaluate_objective("w", "availability", samples, target)


@then("the burn rate is {rate:g}")
def step_rate(context, rate):
    assert abs(context.burn.burn_rate - rate) < 1e-6, context.burn


@then("the budget left is {left:g}")
def step_left(context, left):
    assert abs(context.burn.budget_left - left) < 1e-6, context.burn


@given("a target of 0.999 and samples every 5 minutes")
def step_five_minutes(context):
    context.samples = [burn.Sample(0.0, 0.0, 0.0)]


@when(
    "the error rate is {before:d} in 1000 for {hours:d} hours and then {after:d} in 1000 for 1 hours"
)
def step_errors(context, before, hours, after):
    for count, duration_hours in ((before, hours), (after, 1)):
        for _ in range(duration_hours * 12):
            last = context.samples[-1]
            total = REQUESTS_PER_HOUR / 12
            good = total * (1 - count / 1000)
            sample = burn.Sample(last.at_hours + 1 / 12, last.good + good, last.total + total)
            context.samples.append(sample)


@then('the firing rules are "{rules}"')
def step_rules(context, rules):
    found = burn._evaluate_objective("w", "availability", context.samples, 0.999).alerts
    names = [f"{alert.rule.name} {alert.rule.long_hours:g} h" for alert in found]
    assert (", ".join(names) or "none") == rules, names
    assert all(alert.remedy for alert in found)


@given("a router with 100 fast first tokens and another with 300 slow ones")
def step_two_routers(context):
    context.texts = []
    for fast, slow in ((100, 0), (0, 300)):
        meters = metrics.Metrics()
        for seconds, count in ((0.01, fast), (9.0, slow)):
            for _ in range(count):
                meters.first_token.labels("classify").observe(seconds)
        context.texts.append(meters.expose().decode())


@then("the merged objective counts {good:d} good events of {total:d}")
def step_merged(context, good, total):
    document = config.loads(support.example("centre"))
    found = burn.count_events(burn.merge_metrics(context.texts), document)
    assert found["classify", "first token"] == (good, total), found


@when("the burn report is generated")
def step_report(context):
    directory = tempfile.mkdtemp()
    context.page = pathlib.Path(directory) / "burn.html"
    arguments = ["burn", f"--router={context.deployment.base_url()}", f"--html={context.page}"]
    arguments += ["--operator_key=demo-centre-operator-guest", "--count=4", "--interval=0.2"]
    process = subprocess.Popen(
        [sys.executable, "-m", "bronzemux.cli_report", *arguments],
        cwd=ctl_steps.ROOT,
        env=dict(os.environ),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = process.communicate(timeout=60)
    context.output, context.status = output.decode(), process.returncode


@then('the HTML page contains the workload "{name}" but no key or prompt')
def step_page(context, name):
    text = context.page.read_text("utf-8")
    assert name in text and "data:image/png" in text
    assert "demo-centre" not in text and "statute says" not in text
