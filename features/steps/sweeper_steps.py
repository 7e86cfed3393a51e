"""Steps of sweeper.feature."""

import datetime

from behave import given, then, when

from bronzemux import (
    claim_reconciler,
    claim_rows,
    claims,
    clock,
    committer,
    errors,
    metrics,
    object_store,
    sweeper,
    table,
)

SHARDS = 256
TEAM, KEY, CONTENT = "caseworkers", "k1", "digest"
RESPONSE_BODIES = {"an answer": b"short", "a long answer": b"x" * (claims.MAX_INLINE_BYTES + 1)}


class DirectCommitter(committer.Committer):
    """Committer that writes in the greenlet of the caller, without a batch."""

    def commit(self, write):
        """Write one row immediately."""
        try:
            self.service.transact([write])
        except errors.WriteConflictError:
            return committer.WriteResult(False, self.service.read([write.key])[0])
        return committer.WriteResult(True)


class UnavailableMethod:
    """Replacement for a method of a service that is unavailable."""

    def __call__(self, *arguments):
        raise errors.PlatformUnavailableError("the service sent no response", "try again later")


def set_up(context) -> None:
    """Create claims and a sweeper with a table and objects in memory."""
    context.clock = clock.FakeClock()
    context.service = table.MemoryTable()
    context.objects = object_store.MemoryObjectStore()
    meters = metrics.Metrics()
    writer = DirectCommitter(context.service, context.clock, meters)
    context.settings = claims.ClaimSettings("vm-1@1")
    context.claims = claims.Claims(
        context.settings,
        context.service,
        context.objects,
        writer,
        claim_reconciler.ClaimReconciler(writer, context.service, context.clock),
        context.clock,
        meters,
    )
    context.sweeper = sweeper.Sweeper(
        context.settings,
        "vm-1",
        context.service,
        context.objects,
        writer,
        context.clock,
        lambda: ["vm-1"],
    )


@given("a claim in state {state} with {response}")
def step_claim(context, state, response):
    set_up(context)
    claim = context.claims.begin(TEAM, KEY, CONTENT)
    if state == "done":
        stored = claim_rows.StoredResponse(200, "text/plain", (RESPONSE_BODIES[response],))
        assert context.claims.finish(claim, stored)
    elif state == "unknown":
        context.claims.mark_unknown(claim)


def sweep(context) -> None:
    """Sweep every shard once."""
    for _ in range(SHARDS):
        context.sweeper.tick()


@when("{hours:d} hours pass and all shards are swept")
def step_sweep(context, hours):
    context.clock.advance(hours * 3600.0)
    sweep(context)


@when("{hours:d} hours pass and all shards are swept while the {service} fails")
def step_sweep_failing(context, hours, service):
    context.clock.advance(hours * 3600.0)
    owner, name = (
        (context.service, "scan") if service == "table service" else (context.objects, "delete")
    )
    setattr(owner, name, UnavailableMethod())
    sweep(context)
    delattr(owner, name)


@when("the clock of the router is set back by {hours:d} hours")
def step_set_clock_back(context, hours):
    behind = clock.FakeClock()
    behind.now = lambda: context.clock.now() - datetime.timedelta(hours=hours)
    context.claims.clock = behind


def stored_claim(context) -> claim_rows.Claim:
    """Return the claim as it is stored."""
    return claim_rows.decode(context.service.rows[claim_rows.row_key(TEAM, KEY)])


@then("the stored response is {state}")
def step_response_state(context, state):
    claim = stored_claim(context)
    has_response = claim.response is not None or bool(context.objects.contents)
    assert has_response == (state == "kept"), claim


@then("the claim still exists")
def step_claim_exists(context):
    assert stored_claim(context).content_digest == CONTENT


@then('a retry of the request gets "{kind}"')
def step_retry(context, kind):
    try:
        context.claims.begin(TEAM, KEY, CONTENT)
        result = "answer"
    except errors.RequestError as error:
        result = type(error).__name__
    assert result == kind, result


@given("{count:d} claims in state done with a response in one shard")
def step_many(context, count):
    set_up(context)
    for number in range(count):
        key = f"{claim_rows.KEY_PREFIX}00{number:06x}"
        response = claim_rows.StoredResponse(200, "text/plain", (b"short",))
        claim = claim_rows.Claim(
            key, 1, claim_rows.State.DONE, "nonce", CONTENT, "vm-1@1", 0.0, response
        )
        context.service.transact([claim_rows.to_write(claim)])


@then("{count:d} responses were removed")
def step_removed(context, count):
    assert context.sweeper.removed_responses == count


@given("sweepers of {count:d} routers")
def step_sweepers(context, count):
    set_up(context)
    names = [f"vm-{number}" for number in range(count)]
    context.assigned_shards = []
    for name in names:
        router_sweeper = sweeper.Sweeper(
            context.settings, name, context.service, None, None, context.clock, lambda: names
        )
        first = router_sweeper._next_own_shard()
        shard = first
        while shard is not None:
            context.assigned_shards.append(shard)
            shard = router_sweeper._next_own_shard()
            if shard == first:
                break


@then("each of the {count:d} shards belongs to exactly one of them")
def step_shards_assigned(context, count):
    assert len(context.assigned_shards) == len(set(context.assigned_shards)) == count
