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
ANSWERS = {"an answer": b"short", "a long answer": b"x" * (claims.MAX_INLINE_BYTES + 1)}


class DirectCommitter(committer.Committer):
    """Committer that writes in the caller's greenlet."""

    def commit(self, write):
        """Write one row at once."""
        try:
            self.service.transact([write])
        except errors.WriteConflictError:
            return committer.WriteResult(False, self.service.read([write.key])[0])
        return committer.WriteResult(True)


class Failing:
    """Method that fails as a service that is out of reach."""

    def __call__(self, *arguments):
        raise errors.PlatformUnavailableError("no answer", "wait")


def prepare(context) -> None:
    """Create a platform in memory, claims and a sweeper."""
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


@given("a claim that is {state} with {answer}")
def step_claim(context, state, answer):
    prepare(context)
    claim = context.claims.begin(TEAM, KEY, CONTENT)
    if state == "done":
        stored = claim_rows.StoredResponse(200, "text/plain", (ANSWERS[answer],))
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


@when("{hours:d} hours pass and all shards are swept while the {part} fails")
def step_sweep_failing(context, hours, part):
    context.clock.advance(hours * 3600.0)
    owner, name = (
        (context.service, "scan") if part == "table service" else (context.objects, "delete")
    )
    setattr(owner, name, Failing())
    sweep(context)
    delattr(owner, name)


@when("the clock of the router goes back by {hours:d} hours")
def step_back(context, hours):
    behind = clock.FakeClock()
    behind.now = lambda: context.clock.now() - datetime.timedelta(hours=hours)
    context.claims.clock = behind


def found(context) -> claim_rows.Claim:
    """Return the claim as it is stored."""
    return claim_rows.decode(context.service.rows[claim_rows.row_key(TEAM, KEY)])


@then("the answer is {fate}")
def step_fate(context, fate):
    claim = found(context)
    has_answer = claim.response is not None or bool(context.objects.contents)
    assert has_answer == (fate == "kept"), claim


@then("the claim is still there")
def step_there(context):
    assert found(context).content_digest == CONTENT


@then('a repeat of the request gets "{kind}"')
def step_repeat(context, kind):
    try:
        context.claims.begin(TEAM, KEY, CONTENT)
        result = "answer"
    except errors.RequestError as error:
        result = type(error).__name__
    assert result == kind, result


@given("{count:d} claims that are done with an answer in one shard")
def step_many(context, count):
    prepare(context)
    for number in range(count):
        key = f"{claim_rows.KEY_PREFIX}00{number:06x}"
        answer = claim_rows.StoredResponse(200, "text/plain", (b"short",))
        claim = claim_rows.Claim(
            key, 1, claim_rows.State.DONE, "nonce", CONTENT, "vm-1@1", 0.0, answer
        )
        context.service.transact([claim_rows.to_write(claim)])


@then("{count:d} answers were removed")
def step_removed(context, count):
    assert context.sweeper.removed_responses == count


@given("sweepers of {count:d} routers")
def step_sweepers(context, count):
    prepare(context)
    names = [f"vm-{number}" for number in range(count)]
    context.taken = []
    for name in names:
        one = sweeper.Sweeper(
            context.settings, name, context.service, None, None, context.clock, lambda: names
        )
        first = one._next_own_shard()
        shard = first
        while shard is not None:
            context.taken.append(shard)
            shard = one._next_own_shard()
            if shard == first:
                break


@then("each of the {count:d} shards has one of them")
def step_each(context, count):
    assert len(context.taken) == len(set(context.taken)) == count
