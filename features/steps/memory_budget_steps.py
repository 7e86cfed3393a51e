"""Steps for the memory that requests of callers may take."""

from behave import given, then, when

from bronzemux.gateway import memory_budget

MEGABYTE = 1_000_000


@given(
    "a VM of {total:d} MB, of which requests may take {limit:d} MB together and long ones {long:d} MB"
)
def step_budget(context, total, limit, long):
    context.budget = memory_budget.MemoryBudget(total * MEGABYTE)
    assert context.budget.limit_bytes == limit * MEGABYTE
    context.holdings, context.refused = {}, []


@given('the {state} request "{name}" holds {count:g} MB')
@when('the {state} request "{name}" grows to {count:g} MB')
def step_hold(context, state, name, count):
    budget = context.budget
    if name not in context.holdings:
        context.holdings[name] = budget.open(lambda: context.refused.append(name))
    holding = context.holdings[name]
    budget.begin(holding)
    budget.resize(holding, round(count * MEGABYTE))
    if state == "complete":
        budget.complete(holding)


@when('the request "{name}" is released')
def step_release(context, name):
    context.budget.release(context.holdings[name])


@then('the request "{name}" is refused, and no other')
def step_refused(context, name):
    assert [n for n, holding in context.holdings.items() if holding.is_refused] == [name]
    assert set(context.refused) <= {name}, context.refused


@then("no request is refused")
def step_none_refused(context):
    assert not any(holding.is_refused for holding in context.holdings.values())


@then("{count:g} MB are held")
def step_held(context, count):
    assert context.budget.held_bytes == round(count * MEGABYTE), context.budget.held_bytes
