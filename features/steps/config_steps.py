"""Steps of config.feature."""

from behave import given, then

from bronzemux import config, errors, snapshot
from features import support


@given('the example "{name}"')
def step_example(context, name):
    context.document_text = support.example(name)


@given('example "{name}" with "{old}" replaced by "{new}"')
def step_replaced(context, name, old, new):
    context.document_text = support.example(name)
    replace(context, old, new)


@given('also with "{old}" replaced by "{new}"')
def step_also_replaced(context, old, new):
    replace(context, old, new)


def replace(context, old, new):
    """Replace the first occurrence of a text in the document."""
    assert old in context.document_text
    context.document_text = context.document_text.replace(old, new, 1)


def problems(context) -> list[errors.ConfigProblemError]:
    """Return the problems of the document."""
    try:
        config.loads(context.document_text)
    except errors.ConfigError as error:
        return list(error.exceptions)
    return []


@then("the document is accepted with {endpoints:d} model endpoints and {teams:d} teams")
def step_accepted(context, endpoints, teams):
    document = config.loads(context.document_text)
    assert sum(endpoint.kind == "model" for endpoint in document.endpoints) == endpoints
    assert len(document.teams) == teams
    assert len(document.deployment.data_centres) == 3


@then('the only error is reported at "{path}"')
def step_problem(context, path):
    found = problems(context)
    assert [problem.path for problem in found] == [path], [str(item) for item in found]
    assert found[0].remedy


@then("{count:d} errors are reported, each with a remedy")
def step_problems(context, count):
    found = problems(context)
    assert len(found) == count, [str(item) for item in found]
    assert all(problem.remedy and problem.path for problem in found)


def build_snapshot(context) -> snapshot.Snapshot:
    """Return the snapshot of the document."""
    return snapshot.build(1, config.loads(context.document_text))


@then('a model request of "{team}" without a workload is {kind}')
def step_model_workload(context, team, kind):
    built = build_snapshot(context)
    caller = next(item for item in built.config.teams if item.name == team)
    workload = built.model_workload(caller, "statute-7b", "")
    assert workload.idempotent == (kind == "idempotent"), workload


@then('a service request "{method}" "{path}" is {kind}')
def step_service_workload(context, method, path, kind):
    built = build_snapshot(context)
    workload = built.service_workload(built.config.teams[0], "cases", method, path)
    assert workload.idempotent == (kind == "idempotent"), workload
