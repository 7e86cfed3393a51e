"""Steps of fault_run.feature."""

from behave import given, then, when

from bronzemux import claim_rows, claims, continuation, engine_http, errors, forward
from features import fault_run, support

REQUESTS_PER_SECOND = 60.0
# Short, so that each run with a disabled mechanism draws its fault often.
SINGLE_FAULT_INTERVAL_SECONDS = 0.05


def start_run(context, seed: int, faults, fault_interval_seconds: float) -> None:
    """Start a deployment and create a fault run in it."""
    text = fault_run.remove_limits(support.example("centre"))
    support.start_development(context, "centre", text=text, routers=3, token_seconds=0.002)
    context.run = fault_run.FaultRun(context.deployment, seed, faults, fault_interval_seconds)


@given("a fault run with seed {seed:d}")
def step_run(context, seed):
    start_run(context, seed, fault_run.FAULTS, 0.25)


@given('a fault run with seed {seed:d} that draws only "{faults}"')
def step_run_only(context, seed, faults):
    start_run(context, seed, (faults,), SINGLE_FAULT_INTERVAL_SECONDS)


def replace_attribute(context, owner, name: str, function) -> None:
    """Replace an attribute until the scenario ends."""
    original = getattr(owner, name)
    setattr(owner, name, function)
    context.cleanups.append(lambda: setattr(owner, name, original))


def begin_without_claim(self, team: str, key: str, content: str) -> claim_rows.Claim:
    """Return a new claim without storing it, so that a retried request runs again."""
    return claim_rows.Claim("none", 1, claim_rows.State.STARTED, "n", content, "r", 0.0)


def iterate_unchecked(self):
    """Iterate over parts without checking their sequence numbers."""
    for event in engine_http.http_client.iter_events(iter(self.connection.read, b"")):
        yield engine_http.decode_event(event)


def stream_unmatched(self, method, path, headers, body, job, offset):
    """Open a stream without checking that the response belongs to the request."""
    connection = self._connection(False)
    connection.send(method, path, headers, body)
    response = connection.receive(method)
    incarnation = response.get(engine_http.HEADER_INCARNATION, "")
    return engine_http.HttpResponseStream(self, connection, incarnation, offset)


def report_not_run(self, error):
    """Report every failure as not run."""
    return errors.UnavailableError("lost", "send again", 0.1)


@given("{mechanism} is disabled")
def step_disable(context, mechanism):
    if mechanism == "the claim":
        replace_attribute(context, claims.Claims, "begin", begin_without_claim)
        context.run._should_stop = lambda caller, outcome: should_stop_unsafely(caller, outcome)
    elif mechanism == "the sequence check":
        replace_attribute(context, engine_http.HttpResponseStream, "__iter__", iterate_unchecked)
    elif mechanism == "the software check":
        replace_attribute(context, continuation, "may_continue", lambda *versions: True)
    elif mechanism == "the id match":
        replace_attribute(context, engine_http.HttpEngine, "_stream", stream_unmatched)
    else:
        replace_attribute(context, forward.BaseExecution, "_final_error", report_not_run)


def should_stop_unsafely(caller, outcome: str) -> bool:
    """Return whether a response is complete; a request of unknown outcome is retried."""
    caller.is_satisfied = outcome == "ran"
    return caller.is_satisfied


@when("it sends {count:d} requests under all faults")
@when("it sends {count:d} requests under these faults")
def step_send(context, count):
    context.run.run(count, REQUESTS_PER_SECOND)


@then("it reports no violation")
def step_no_violation(context):
    assert not context.run.violations, context.run.violations


@then('it reports the violation "{violation}"')
def step_violation(context, violation):
    found = [item for item in context.run.violations if violation in item]
    assert found, (context.run.violations, context.run.counts)
