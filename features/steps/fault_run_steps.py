"""Steps of fault_run.feature."""

from behave import given, then, when

from bronzemux import claim as claim_rows
from bronzemux import claims, engine_http, errors, forward
from features import fault_run, support

RATE = 60.0
MUTANT_FAULT_SECONDS = 0.05


def prepare(context, seed: int, faults, seconds: float) -> None:
    """Start a deployment and a run."""
    text = fault_run.unlimited(support.example("centre"))
    support.start_development(context, "centre", text=text, routers=3, token_seconds=0.002)
    context.run = fault_run.Run(context.deployment, seed, faults, seconds)


@given("a fault run with seed {seed:d}")
def step_run(context, seed):
    prepare(context, seed, fault_run.FAULTS, 0.25)


@given('a fault run with seed {seed:d} that draws only "{faults}"')
def step_run_only(context, seed, faults):
    prepare(context, seed, (faults,), MUTANT_FAULT_SECONDS)


def replace(context, owner, name: str, function) -> None:
    """Replace an attribute until the scenario ends."""
    old = getattr(owner, name)
    setattr(owner, name, function)
    context.cleanups.append(lambda: setattr(owner, name, old))


def always_begin(self, team: str, key: str, content: str) -> claim_rows.Claim:
    """Begin without a claim, so that repeats run again."""
    return claim_rows.Claim("none", 1, claim_rows.State.STARTED, "n", content, "r", 0.0)


def unchecked_parts(self):
    """Iterate over parts without checking their numbers."""
    for event in engine_http.http_client.iter_events(iter(self.connection.read, b"")):
        yield engine_http.decode_event(event)


def unmatched_stream(self, method, path, headers, body, job, offset):
    """Take any answer for the own one."""
    connection = self._connection(False)
    connection.send(method, path, headers, body)
    response = connection.receive(method)
    incarnation = response.get(engine_http.HEADER_INCARNATION, "")
    return engine_http.HttpResponseStream(self, connection, incarnation, offset)


def hopeful_final(self, error):
    """Call every failure not run."""
    return errors.UnavailableError("lost", "send again", 0.1)


@given("{mechanism} is switched off")
def step_switch_off(context, mechanism):
    if mechanism == "the claim":
        replace(context, claims.Claims, "begin", always_begin)
        context.run._is_done = lambda caller, outcome: repeat_once(caller, outcome)
    elif mechanism == "the sequence check":
        replace(context, engine_http.HttpResponseStream, "__iter__", unchecked_parts)
    elif mechanism == "the id match":
        replace(context, engine_http.HttpEngine, "_stream", unmatched_stream)
    else:
        replace(context, forward.BaseExecution, "_final_error", hopeful_final)


def repeat_once(caller, outcome: str) -> bool:
    """Repeat until an answer comes, as a caller does that does not know better."""
    caller.is_satisfied = outcome == "ran"
    return caller.is_satisfied


@when("it sends {count:d} requests under all faults")
@when("it sends {count:d} requests under these faults")
def step_send(context, count):
    context.run.run(count, RATE)


@then("it finds no violation")
def step_clean(context):
    assert not context.run.violations, context.run.violations


@then('it finds a violation "{promise}"')
def step_found(context, promise):
    found = [item for item in context.run.violations if promise in item]
    assert found, (context.run.violations, context.run.counts)
