"""Steps for the limit on the connections of callers."""

from behave import given, then, when

from bronzemux.gateway import connection_limit


@given(
    "a process with {total:d} sockets, {own:d} of them its own, and {count:d} connections of callers"
)
def step_process(context, total, own, count):
    context.limit = connection_limit.ConnectionLimit(total)
    assert own == connection_limit.MIN_OWN_SOCKETS
    assert context.limit.max_connections == context.limit.max_endpoint_channels == count
    context.closed = []


@given("the connections are {first}, {second} and {third}")
def step_connections(context, first, second, third):
    for state in (first, second, third):
        open_connection(context, state)


def open_connection(context, state: str) -> None:
    """Open a connection in a state; one with a new request is not closed."""

    def close() -> bool:
        if state != "idle with new":
            context.closed.append(state)
        return state != "idle with new"

    kind, _, rest = state.partition(" ")
    connection = context.limit.open(close, 0.0)
    stage = connection_limit.Stage[kind.upper()]
    connection.enter(stage, float(rest.removeprefix("since ")) if "since" in rest else 0.0)
    if stage is connection_limit.Stage.READING:
        connection.received_bytes = int(rest)


@when("a connection is opened")
def step_open(context):
    context.new = context.limit.open(lambda: True, 10.0)


@then("the connection that is {state} was closed, and {count:d} are open")
def step_closed(context, state, count):
    assert context.new is not None
    assert context.closed == [state], context.closed
    assert len(context.limit.connections) == count
    assert context.limit.pop_closed() == {state.split()[0]: 1}


@then("the new connection was rejected, and {count:d} are open")
def step_rejected(context, count):
    assert context.new is None and not context.closed
    assert len(context.limit.connections) == count
    assert context.limit.pop_closed() == {"rejected": 1}
