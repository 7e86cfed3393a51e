"""Steps that several features use."""

from behave import given, then, when

from bronzemux import standin_response
from features import support


@given('a development deployment "{name}"')
def step_deployment(context, name):
    support.start_development(context, name)
    context.responses = []


@when('team "{team}" streams a chat through router {number:d}')
@then('team "{team}" streams a chat through router {number:d}')
def step_stream(context, team, number):
    client = support.openai_client(context.deployment, team, number - 1)
    model = context.deployment.document.models[0].name
    response = support.stream_text(client, model, support.LONG_TEXT, "What is the deadline?")
    context.responses.append(response)


@then("the response is complete, with {count:d} words")
def step_complete_response(context, count):
    text = context.responses[-1][0]
    assert standin_response.is_complete_response(text, count), text


@then('the outcome is "{outcome}"')
def step_outcome(context, outcome):
    assert context.reply.headers["X-Outcome"] == outcome, context.reply


@then('the status is {status:d} and the error is "{kind}"')
def step_error(context, status, kind):
    assert context.reply.status == status, context.reply
    error = context.reply.json()["error"]
    assert error["type"] == kind, error
    assert "; " in error["message"], "the message states no remedy"
    assert context.reply.headers["X-Request-Id"]


@then("the status is {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("no endpoint ran a request")
def step_no_execution(context):
    assert context.deployment.executions() == []
    filings = [len(service.filings) for service in context.deployment.services.values()]
    assert sum(filings) == 0, filings
