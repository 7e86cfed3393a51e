"""Steps of replay.feature."""

import dataclasses
import functools
import itertools

from behave import given, then, when

from bronzemux import config, fake_engine, messages, replay, replay_summary, replicas, traffic
from features import support

TESTED_POLICY = "reuse-and-load"
CRASH_SECONDS = 2.0


def load_plan(name: str, rate: float, seconds: float = 0.0) -> traffic.Traffic:
    """Return the traffic of an example.

    Args:
      name: Name of the deployment.
      rate: Mean arrivals per second.
      seconds: Duration, 0 for that of the example.
    """
    return traffic.scaled(traffic.loads(support.example(f"{name}-traffic")), rate, seconds)


@given('{seconds:d} seconds of the traffic of "{name}" at {rate:d} per second')
def step_short(context, seconds, name, rate):
    context.plan = load_plan(name, rate, seconds)
    context.document = config.loads(support.example(name))


@given('the traffic of "{name}" at {rate:d} per second')
def step_traffic(context, name, rate):
    context.plan = load_plan(name, rate)
    context.document = config.loads(support.example(name))


@given(
    'engines of software "{first}" and "{second}" that crash every {seconds:d} seconds, '
    "some with other software after"
)
def step_crashes(context, first, second, seconds):
    names = [item.name for item in context.document.endpoints if item.kind == "model"]
    versions = itertools.cycle((first, second))
    context.software = dict(zip(names, versions, strict=False))
    times = range(seconds, int(context.plan.duration_seconds), seconds)
    faults = tuple(
        traffic.Fault(float(at), "crash", name, CRASH_SECONDS)
        for at, name in zip(times, itertools.cycle(names), strict=False)
    )
    context.plan = dataclasses.replace(context.plan, faults=faults)
    context.releases = list(
        zip([fault.at_seconds for fault in faults][::2], versions, strict=False)
    )


def set_software(run: replay.Replay, context) -> None:
    """Set the software of the engines, and schedule its changes while they are down."""
    for name, software in getattr(context, "software", {}).items():
        run.engines[name].software = software
    targets = {fault.at_seconds: fault.target for fault in run.plan.faults}
    for at, software in getattr(context, "releases", ()):
        changed = run.engines[targets[at]]
        run.schedule(at + CRASH_SECONDS / 2, setattr, changed, "software", software)


def run_replay(context, policy: str) -> replay.Replay:
    """Replay the traffic under a policy."""
    run = replay.Replay(context.plan, context.document, replay.POLICIES[policy])
    set_software(run, context)
    run.run()
    return run


def summarise(run: replay.Replay) -> replay_summary.Summary:
    """Return the figures of a whole run."""
    return run.total.summarize(run.plan.duration_seconds)


@then('two replays under "{policy}" give the same figures')
def step_same(context, policy):
    assert summarise(run_replay(context, policy)) == summarise(run_replay(context, policy))


@functools.cache
def replay_cached(plan: traffic.Traffic, document: config.Config, policy: str) -> replay.Replay:
    """Replay the traffic under a policy, once for all scenarios that check the same run."""
    run = replay.Replay(plan, document, replay.POLICIES[policy])
    run.run()
    return run


@when("it is replayed under all policies")
def step_replay_all(context):
    names = list(replay.POLICIES)
    context.runs = {name: replay_cached(context.plan, context.document, name) for name in names}


@when('it is replayed under "{policy}"')
def step_replay(context, policy):
    context.runs = {policy: run_replay(context, policy)}


@then("every request was answered, shed or failed")
def step_conserved(context):
    for run in context.runs.values():
        found = summarise(run)
        assert found.answered + found.shed + found.failed == found.requests, found


@then("the cache hit rate is at least {fraction:g} of its upper bound")
def step_hit_rate(context, fraction):
    found = summarise(context.runs[TESTED_POLICY])
    assert found.hit_rate >= fraction * found.bound_hit_rate, found


@then("the p99 time to first token is at most half of the best baseline's")
def step_half(context):
    values = {name: summarise(run).first_token[99.0] for name, run in context.runs.items()}
    best = min(value for name, value in values.items() if name != TESTED_POLICY)
    assert 0 < values[TESTED_POLICY] <= best / 2, values


@then("the retry ratio is at most {limit:g} in every phase")
def step_retries(context, limit):
    for start, phase in context.runs[TESTED_POLICY].phases():
        assert phase.retry_ratio <= limit, (start, phase)


@then('no request of "{policy}" failed')
def step_none_failed(context, policy):
    found = summarise(context.runs[policy])
    assert found.failed == 0 and found.answered == found.requests, found


@then('the p99 time to first token of "{small}" is at most {factor:g} times that of "{middle}"')
def step_fair(context, small, factor, middle):
    values = summarise(context.runs[TESTED_POLICY]).team_first_token
    assert values[small] <= factor * values[middle], values


@then('the goodput of "{policy}" is at least {factor:d} times that of any baseline')
def step_goodput(context, policy, factor):
    values = {name: summarise(run).goodput for name, run in context.runs.items()}
    others = [value for name, value in values.items() if name != policy]
    assert values[policy] >= factor * max(others), values


@given(
    "requests with one prefix for {seconds:d} seconds, which wait {wait:g} s, "
    "or {next_wait:g} s elsewhere"
)
def step_prefix(context, wait, seconds, next_wait):
    context.counts = replicas.ReplicaCounts()
    for number in range(seconds * 10):
        context.counts.observe(1, wait, next_wait, 5, number / 10)


@then("the prefix has {count:d} replicas")
def step_count(context, count):
    assert context.counts.count(1) == count, context.counts.count(1)


@then("in every phase the p99 time to first token is at most the best baseline's")
def step_phases(context):
    own = context.runs[TESTED_POLICY].phases()
    others = [run.phases() for name, run in context.runs.items() if name != TESTED_POLICY]
    late = []
    for position, (start, found) in enumerate(own):
        best = min(phases[position][1].first_token[99.0] for phases in others)
        if found.first_token[99.0] > best:
            late.append((start, found.first_token[99.0], best))
    assert not late, late


@then("more than {count:d} responses were continued and none was mixed from two software versions")
def step_not_mixed(context, count):
    (run,) = context.runs.values()
    assert run.continued > count, run.continued
    assert not run.mixed_responses, run.mixed_responses


@when(
    'an engine of software "{software}" gets the rest of a response that software "{begun}" began'
)
def step_other_software(context, software, begun):
    context.run = run = replay.Replay(
        context.plan, context.document, replay.POLICIES[TESTED_POLICY]
    )
    arrival = next(traffic.arrivals(context.plan))
    request = run._build_request(arrival)
    context.engine = next(iter(run.engines.values()))
    context.engine.software = software
    run.begun_software[arrival.number] = begun
    assignment = messages.Assignment(
        request, context.engine.endpoint, 0, 0.0, variant=request.variants[0]
    )
    context.engine.accept(fake_engine.Job(arrival, request, assignment, 0))


@then("it runs nothing, and the request is sent elsewhere")
def step_dropped(context):
    assert not context.engine.active, len(context.engine.active)
    excluded = list(context.run.excluded_endpoints.values())
    assert excluded == [{context.engine.endpoint.name}], excluded
