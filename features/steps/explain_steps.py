"""Steps of explain.feature."""

from behave import given, then, when

from bronzemux import explain


@given('the logs of the gateways "{first}" and "{second}"')
def step_logs(context, first, second):
    parsed = [explain.parse_line(line, "file") for line in context.text.splitlines()]
    context.log_events = [log_event for log_event in parsed if log_event is not None]
    assert {log_event.source for log_event in context.log_events} == {first, second}


@when('the request "{request_id}" is explained')
def step_explain(context, request_id):
    context.timeline, context.error = [], None
    try:
        context.timeline = explain.timeline(context.log_events, request_id)
    except explain.UnknownRequestError as error:
        context.error = error


@then("the timeline has the events")
def step_events(context):
    assert [log_event.event for log_event in context.timeline] == [
        row["event"] for row in context.table
    ]
    for log_event, row in zip(context.timeline, context.table, strict=True):
        assert row["contains"] in log_event.text(), log_event.text()


@then("there is no timeline, and the remedy is to give the logs of all routers")
def step_no_timeline(context):
    assert context.timeline == []
    assert "give the logs of all routers" in context.error.remedy
