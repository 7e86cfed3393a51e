"""Steps of replay.feature."""

import functools

from behave import given, then, when

from bronzemux import config, replay, replay_summary, replicas, traffic
from features import support

PRODUCT = "reuse-and-load"


def plan_of(name: str, rate: float, seconds: float = 0.0) -> traffic.Traffic:
    """Return the traffic of an example."""
    return traffic.scaled(traffic.loads(support.example(f"{name}-traffic")), rate, seconds)


@given('{seconds:d} seconds of the traffic of "{name}" at {rate:d} a second')
def step_short(context, seconds, name, rate):
    context.plan = plan_of(name, rate, seconds)
    context.document = config.loads(support.example(name))


@given('the traffic of "{name}" at {rate:d} a second')
def step_traffic(context, name, rate):
    context.plan = plan_of(name, rate)
    context.document = config.loads(support.example(name))


def play(context, policy: str) -> replay.Replay:
    """Replay the traffic under a policy."""
    run = replay.Replay(context.plan, context.document, replay.POLICIES[policy])
    run.run()
    return run


def total(run: replay.Replay) -> replay_summary.Summary:
    """Return the figures of a whole run."""
    return run.total.summarize(run.plan.duration_seconds)


@then('two replays under "{policy}" give the same figures')
def step_same(context, policy):
    assert total(play(context, policy)) == total(play(context, policy))


@functools.cache
def played(plan: traffic.Traffic, document: config.Config, policy: str) -> replay.Replay:
    """Replay traffic once for all scenarios that look at the same run."""
    run = replay.Replay(plan, document, replay.POLICIES[policy])
    run.run()
    return run


@when("it is replayed under all policies")
def step_replay_all(context):
    names = list(replay.POLICIES)
    context.runs = {name: played(context.plan, context.document, name) for name in names}


@when('it is replayed under "{policy}"')
def step_replay(context, policy):
    context.runs = {policy: play(context, policy)}


@then("every request was answered, shed or failed")
def step_conserved(context):
    for run in context.runs.values():
        found = total(run)
        assert found.answered + found.shed + found.failed == found.requests, found


@then("the hit rate is at least {share:g} of the bound")
def step_hit_rate(context, share):
    found = total(context.runs[PRODUCT])
    assert found.hit_rate >= share * found.bound_hit_rate, found


@then("the p99 of the first token is at most half of the best baseline's")
def step_half(context):
    values = {name: total(run).first_token[99.0] for name, run in context.runs.items()}
    best = min(value for name, value in values.items() if name != PRODUCT)
    assert 0 < values[PRODUCT] <= best / 2, values


@then("retries are at most {share:g} of the requests in every phase")
def step_retries(context, share):
    for start, phase in context.runs[PRODUCT].phases():
        assert phase.retry_ratio <= share, (start, phase)


@then('no request of "{policy}" failed')
def step_none_failed(context, policy):
    found = total(context.runs[policy])
    assert found.failed == 0 and found.answered == found.requests, found


@then('the p99 of "{small}" is at most {factor:g} times that of "{middle}"')
def step_fair(context, small, factor, middle):
    values = total(context.runs[PRODUCT]).team_first_token
    assert values[small] <= factor * values[middle], values


@then('"{policy}" answers at least {factor:d} times as many in time as any baseline')
def step_goodput(context, policy, factor):
    values = {name: total(run).goodput for name, run in context.runs.items()}
    others = [value for name, value in values.items() if name != policy]
    assert values[policy] >= factor * max(others), values


@given(
    "a prefix whose requests wait {wait:g} seconds for {seconds:d} seconds, the next endpoint {after:g}"
)
def step_prefix(context, wait, seconds, after):
    context.counts = replicas.ReplicaCounts()
    for number in range(seconds * 10):
        context.counts.observe(1, wait, after, 5, number / 10)


@then("it has {count:d} replicas")
def step_count(context, count):
    assert context.counts.count(1) == count, context.counts.count(1)


@then("in every phase the p99 of the first token is at most the best baseline's")
def step_phases(context):
    own = context.runs[PRODUCT].phases()
    others = [run.phases() for name, run in context.runs.items() if name != PRODUCT]
    late = []
    for position, (start, found) in enumerate(own):
        best = min(phases[position][1].first_token[99.0] for phases in others)
        if found.first_token[99.0] > best:
            late.append((start, found.first_token[99.0], best))
    assert not late, late
