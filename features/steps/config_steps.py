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


@given('in it "{old}" replaced by "{new}"')
def step_also(context, old, new):
    replace(context, old, new)


def replace(context, old, new):
    """Replace the first place of a text in the document."""
    assert old in context.document_text
    context.document_text = context.document_text.replace(old, new, 1)


def problems(context) -> list[errors.ConfigProblemError]:
    """Return the problems of the document."""
    try:
        config.loads(context.document_text)
    except errors.ConfigError as error:
        return list(error.exceptions)
    return []


@then("the document is accepted with {workers:d} model workers and {teams:d} teams")
def step_accepted(context, workers, teams):
    document = config.loads(context.document_text)
    assert sum(endpoint.kind == "model" for endpoint in document.endpoints) == workers
    assert len(document.teams) == teams
    assert len(document.deployment.data_centres) == 3


@then('the only problem is at "{path}"')
def step_problem(context, path):
    found = problems(context)
    assert [problem.path for problem in found] == [path], [str(item) for item in found]
    assert found[0].remedy


@then("the document has {count:d} problems, each with a remedy")
def step_problems(context, count):
    found = problems(context)
    assert len(found) == count, [str(item) for item in found]
    assert all(problem.remedy and problem.path for problem in found)


def built(context) -> snapshot.Snapshot:
    """Return the snapshot of the document."""
    return snapshot.build(1, config.loads(context.document_text))


@then('a model request of "{team}" without a workload is {kind}')
def step_model_workload(context, team, kind):
    found = built(context)
    member = next(item for item in found.config.teams if item.name == team)
    workload = found.model_workload(member, "statute-7b", "")
    assert workload.idempotent == (kind == "idempotent"), workload


@then('a service request "{method}" "{path}" is {kind}')
def step_service_workload(context, method, path, kind):
    found = built(context)
    workload = found.service_workload(found.config.teams[0], "cases", method, path)
    assert workload.idempotent == (kind == "idempotent"), workload
