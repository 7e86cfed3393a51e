"""Steps for sequences of crashes."""

import itertools

from behave import then, when

from bronzemux import quarantine

CRASHES_TO_VERDICT = 3


class History:
    """Quarantine with a clock that the events advance by a second each."""

    def __init__(self):
        self.quarantine = quarantine.Quarantine(CRASHES_TO_VERDICT)
        self.now = 1000.0
        self.numbers = itertools.count()

    def crash(self, groups: str, sent_at: float) -> None:
        """Record a crash in which requests were lost."""
        lost = [quarantine.LostRequest(tuple(g.split(",")), sent_at) for g in groups.split(" / ")]
        name = f"endpoint-{next(self.numbers)}"
        self.quarantine.record_crash(name, "1", lost, self.now)

    def apply(self, event: str) -> None:
        """Apply one event."""
        self.now += 1.0
        kind, _, argument = event.strip().partition(" ")
        if kind == "crash":
            self.crash(argument, self.now - 0.5)
        elif kind == "burst":
            count, _, groups = argument.partition(" ")
            for _ in range(int(count)):
                self.crash(groups, self.now - 0.5)
        elif kind == "begin":
            self.quarantine.record_begun(argument.split(","), self.now)
        elif kind == "wait":
            self.now += float(argument)
            self.quarantine.expire(self.now)
        else:
            raise AssertionError(f"unknown event {event!r}")


def is_refused(history: History, names: str) -> bool:
    """Return whether a request with some fingerprints is refused."""
    return history.quarantine.is_quarantined(names.strip().split(","), history.now)


@when("these events happen: {events}")
def step_events(context, events):
    context.history = History()
    for event in events.split(";"):
        context.history.apply(event)


@when("another router decides that requests with these fingerprints crash endpoints: {names}")
def step_merge(context, names):
    history = context.history
    members = frozenset(names.split(","))
    verdict = quarantine.Verdict(members, "other/1", history.now, quarantine.FIRST_TERM_SECONDS)
    history.quarantine.merge(verdict, history.now)


@then("requests with these fingerprints are refused: {groups}")
def step_refused(context, groups):
    if groups == "none":
        assert not context.history.quarantine.active(context.history.now)
        return
    found = [names for names in groups.split(";") if not is_refused(context.history, names)]
    assert not found, (found, context.history.quarantine.verdicts)


@then("requests with these fingerprints are served: {groups}")
def step_served(context, groups):
    found = [names for names in groups.split(";") if is_refused(context.history, names)]
    assert not found, (found, context.history.quarantine.verdicts)


@when("{crashes:d} crashes of {requests:d} requests with new fingerprints are recorded")
def step_many(context, crashes, requests):
    history = context.history = History()
    for crash in range(crashes):
        history.now += 1.0
        groups = " / ".join(f"part-{crash}-{n},own-{crash}-{n}" for n in range(requests))
        history.crash(groups, history.now - 0.5)


@then("the quarantine holds at most {count:d} fingerprints")
def step_bounded(context, count):
    assert len(context.history.quarantine.evidence) <= count
