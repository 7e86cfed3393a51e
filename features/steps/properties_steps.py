"""Steps of properties.feature."""

import dataclasses
import math

import hypothesis
from behave import given, then
from hypothesis import strategies as st

from bronzemux import (
    admission,
    claim_reconciler,
    claim_rows,
    claims,
    config_store,
    prefix,
    prefix_index,
    retries,
)
from bronzemux.gateway import http1
from bronzemux.platform import headers
from features import claims_model, fuzz, head_model, lease_model, lock_comparison

TEXT = st.text(st.characters(codec="utf-8"), max_size=12)
IDENTITY = st.tuples(TEXT, TEXT, TEXT, TEXT)


def fixed_seeds(count: int):
    """Return Hypothesis settings with fixed seeds and a number of examples."""
    return hypothesis.settings(max_examples=count, derandomize=True, database=None, deadline=None)


@then("the key chains of {count:d} generated pairs of identities share no key")
def step_chains(context, count):
    @fixed_seeds(count)
    @hypothesis.given(IDENTITY, IDENTITY, st.binary(min_size=8, max_size=64))
    def check(first, second, text):
        hypothesis.assume(first != second)
        chains = [set(prefix.chain(prefix.salt(*item), text, 8)) for item in (first, second)]
        assert not chains[0] & chains[1]

    check()


@then("the claim keys of {count:d} generated pairs differ")
def step_claim_keys(context, count):
    @fixed_seeds(count)
    @hypothesis.given(st.tuples(TEXT, TEXT), st.tuples(TEXT, TEXT))
    def check(first, second):
        hypothesis.assume(first != second)
        assert claim_rows.row_key(*first) != claim_rows.row_key(*second)

    check()


@given("ambiguous insertions are released without comparing nonces")
def step_release_by_version(context):
    original = claim_reconciler.ClaimReconciler.__dict__["_carry_out"]

    def release_by_version(self, message):
        if isinstance(message, claim_reconciler.ReleaseUncertain):
            released = dataclasses.replace(
                message.claim, version=message.claim.version + 1, state=claim_rows.State.RELEASED
            )
            self.committer.commit(claim_rows.to_write(released))
        else:
            self.committer.commit(claim_rows.to_write(message.claim))

    claim_reconciler.ClaimReconciler._carry_out = release_by_version
    context.cleanups.append(
        lambda: setattr(claim_reconciler.ClaimReconciler, "_carry_out", original)
    )


@then("the claim state machine finds no key that ran twice")
def step_claim_machine(context):
    claims_model.check()


@then("the claim state machine finds a key that ran twice")
def step_claim_machine_finds(context):
    assert is_violation_found(
        claims_model.check, claims_model.ClaimMachine, claims_model.DETECTION_EXAMPLES
    )


@given("routers claim keys right after a restore")
def step_claim_early(context):
    original = claims.RESTORE_HOLD_SECONDS
    claims.RESTORE_HOLD_SECONDS = 0.0
    context.cleanups.append(lambda: setattr(claims, "RESTORE_HOLD_SECONDS", original))


@then("the state machine of claims on a restored table finds no key that ran twice")
def step_restored_claim_machine(context):
    claims_model.check(claims_model.RestoredClaimMachine)


@then("the state machine of claims on a restored table finds a key that ran twice")
def step_restored_claim_machine_finds(context):
    assert is_violation_found(
        claims_model.check, claims_model.RestoredClaimMachine, claims_model.DETECTION_EXAMPLES
    )


@then("the configuration state machine finds no violation")
def step_configuration_machine(context):
    head_model.check()


@given("conflicts are resolved without comparing change identifiers")
def step_resolve_without_change_id(context):
    original = config_store.ConfigStore._resolve_conflict
    config_store.ConfigStore._resolve_conflict = lambda self, change: self.read_version(
        change.expected + 1
    )
    context.cleanups.append(
        lambda: setattr(config_store.ConfigStore, "_resolve_conflict", original)
    )


def is_violation_found(check, *arguments) -> bool:
    """Return whether a check fails with an assertion."""
    try:
        check(*arguments)
    except AssertionError:
        return True
    return False


@then("the configuration state machine finds a violation")
def step_configuration_machine_finds(context):
    assert is_violation_found(head_model.check)


@then("the lease state machine finds no violation")
def step_lease_machine(context):
    lease_model.check()


@then("the lease state machine finds a violation by a contender that takes over too early")
def step_lease_machine_finds(context):
    assert is_violation_found(lease_model.check, lease_model.EarlyTakeoverMachine)


@then(
    "of {trials:d} seeded requests at least {least:d} run twice with the lock and none with the claim"
)
def step_lock(context, trials, least):
    comparison = lock_comparison.compare(trials, 1)
    assert comparison.lock_doubled >= least and comparison.claim_doubled == 0, comparison


@then("{count:d} generated inputs to {decoder} raise only {error}")
def step_fuzz(context, count, decoder, error):
    assert fuzz.DECODERS[decoder].error.__name__ == error
    fixed_seeds(count)(fuzz.feeder(decoder))()


@then("{count:d} generated histories of the prefix index agree with a reference model")
def step_index(context, count):
    action = st.tuples(
        st.sampled_from(("insert", "remove", "forget")),
        st.sampled_from(("a", "b", "c")),
        st.lists(st.integers(0, 6), max_size=5).map(tuple),
    )

    @fixed_seeds(count)
    @hypothesis.given(st.lists(action, max_size=30), st.lists(st.integers(0, 6)).map(tuple))
    def check(actions, chain):
        known, model = prefix_index.PrefixIndex(), {"a": set(), "b": set(), "c": set()}
        for name, endpoint, keys in actions:
            if name == "forget":
                known.forget(endpoint)
                model[endpoint] = set()
            else:
                getattr(known, name)(endpoint, keys)
                model[endpoint] = (
                    model[endpoint] | set(keys)
                    if name == "insert"
                    else (model[endpoint] - set(keys))
                )
        expected = {name: leading(chain, held) for name, held in model.items()}
        expected = {name: length for name, length in expected.items() if length}
        assert known.overlaps(chain) == expected

    check()


def leading(chain, held) -> int:
    """Return how many keys at the start of a chain are held."""
    for position, key in enumerate(chain):
        if key not in held:
            return position
    return len(chain)


@then("a team with 1 request is served before the second request of a team with 1000")
def step_fair(context):
    queue = admission.FairQueue(10_000)
    for number in range(1000):
        queue.push(admission.Ticket(f"l{number}", "large", 1.0, 5, 1000.0, 1e9))
    queue.push(admission.Ticket("s", "small", 1.0, 5, 1000.0, 1e9))
    served = [queue.pop_first(lambda _: True).request_id for _ in range(2)]
    assert "s" in served, served


@then("of {count:d} requests at {rate:d} per second at most {limit:d} retries are granted")
def step_budget(context, count, rate, limit):
    budget, granted = retries.RetryBudget(), 0
    for number in range(count):
        now = number / rate
        budget.record_request(now)
        granted += budget.try_retry(0.1, now)
    assert 0 < granted <= limit, granted


# Characters of numbers, dates and lists, and digits that are not ASCII; all can stand in a field.
FIELD_VALUE = st.text("0123456789.,-+eE naif:GMT\xb2\xb3\xb9", max_size=12)


def decode_response(status: int, name: str, values: list[str]):
    """Decode the head of a response with one header field, which may be repeated."""
    fields = tuple((name, value) for value in values)
    return headers.PlatformProtocol().decode_response(
        http1.Head(("HTTP/1.1", str(status), "X"), fields)
    )


@then(
    "{count:d} generated header fields announce that an endpoint leaves only as the protocol says"
)
def step_leaving_fields(context, count):
    values = st.lists(FIELD_VALUE | st.sampled_from(["1", "0", "1, 1", " 1"]), max_size=3)

    @fixed_seeds(count)
    @hypothesis.given(st.integers(100, 599), values)
    def check(status, found):
        response = decode_response(status, "server-leaving", found)
        elements = [part.strip(" ") for value in found for part in value.split(",")]
        assert response.is_leaving == (bool(elements) and set(elements) == {"1"})
        is_valid = not elements or set(elements) in ({"0"}, {"1"})
        assert response.malformed_fields == (() if is_valid else ("server-leaving",))

    check()


@then("{count:d} generated header fields ask for a pause only as the protocol says")
def step_pause_fields(context, count):
    number = st.integers(0, 10**12).map(str) | st.floats(0, 1e6).map(lambda n: f"{n:.3f}")
    values = st.lists(FIELD_VALUE | number, max_size=2)

    @fixed_seeds(count)
    @hypothesis.given(st.integers(100, 599) | st.just(503), values)
    def check(status, found):
        response = decode_response(status, "retry-after", found)
        seconds = response.pause_seconds
        assert math.isfinite(seconds) and seconds >= 0
        if status != 503 or not found:
            assert seconds == 0 and not response.malformed_fields
        elif response.malformed_fields:
            assert seconds == 0
        else:
            (value,) = found
            assert set(value) <= set("0123456789.") and float(value) == seconds

    @fixed_seeds(count)
    @hypothesis.given(number)
    def check_valid(value):
        assert decode_response(503, "retry-after", [value]).pause_seconds == float(value)

    check()
    check_valid()
