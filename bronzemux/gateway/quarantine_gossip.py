"""Exchange of crashes, cleared suspects and verdicts between gateways."""

from collections.abc import Callable, Iterator

from bronzemux import clock as clocks
from bronzemux import quarantine
from bronzemux.gateway import crash_attribution, gossip, relaying, routers

# Most verdicts in one message, the newest first, and most fingerprints in all of them.
MAX_SENT_VERDICTS = 100
MAX_SENT_FINGERPRINTS = 8192
# Most lost requests in the report of one crash, and most fingerprints of all of them.
MAX_REPORTED_REQUESTS = 128
MAX_REPORTED_FINGERPRINTS = 8192
# Longest age or term that is taken from another router or from the store.
MAX_AGE_MS = 3_600_000


class QuarantineGossip:
    """Updates about requests that crash endpoints, and those received from other gateways.

    Crashes and cleared fingerprints are sent once and forwarded by relays, like other updates. The
    verdicts in force are part of every regular message, so that a router that has just started, or
    missed a message, learns them from any other one.

    Args:
      crashes: Attribution of crashes of this gateway.
      clock: Source of time.
      announce: Requests messages before the next regular ones.

    Attributes:
      crash_updates: Crashes that have not been sent yet.
      cleared_updates: Cleared fingerprints that have not been sent yet.
      has_new_verdict: Whether early messages contain the verdicts, until the next regular ones.
    """

    def __init__(
        self,
        crashes: crash_attribution.CrashAttribution,
        clock: clocks.Clock,
        announce: Callable[[], None],
    ):
        self.crashes = crashes
        self.clock = clock
        self.announce = announce
        self.crash_updates = relaying.Outbox()
        self.cleared_updates = relaying.Outbox()
        self.has_new_verdict = False
        crashes.on_crash.append(self._on_crash)
        crashes.on_cleared.append(self._on_cleared)
        crashes.on_verdict.append(self._on_verdict)

    def _on_crash(self, incarnation: str, lost: list[quarantine.LostRequest]) -> None:
        now = self.clock.monotonic()
        reported = lost[:MAX_REPORTED_REQUESTS]
        share = MAX_REPORTED_FINGERPRINTS // max(1, len(reported))
        suspects = self.crashes.quarantine
        reports = tuple(
            gossip.LostReport(
                suspects.most_suspected(item.fingerprints, share, now),
                _milliseconds(now - item.sent_at),
            )
            for item in reported
        )
        self.crash_updates.add(gossip.CrashReport(incarnation, reports))
        self.announce()

    def _on_cleared(self, fingerprints: tuple[str, ...]) -> None:
        for name in fingerprints:
            self.cleared_updates.add(name)
        self.announce()

    def _on_verdict(self, verdict: quarantine.Verdict) -> None:
        self.has_new_verdict = True
        self.announce()

    def has_updates(self, audience: routers.Audience) -> bool:
        """Return whether crashes or cleared fingerprints wait to be sent to an audience."""
        return bool(self.crash_updates.queues[audience] or self.cleared_updates.queues[audience])

    def messages_for(
        self, router: gossip.Router, audience: routers.Audience, now: float, is_regular: bool
    ) -> list[gossip.QuarantineUpdate]:
        """Return the message to an audience, none when there is nothing to tell.

        Args:
          router: This router.
          audience: The audience.
          now: Monotonic seconds.
          is_regular: Whether regular messages are due, which contain the verdicts.
        """
        crashes = self.crash_updates.pop_all(audience)
        cleared = self.cleared_updates.pop_all(audience)
        verdicts = ()
        if is_regular or crashes or self.has_new_verdict:
            active = self.crashes.quarantine.active(now)[:MAX_SENT_VERDICTS]
            verdicts = tuple(report(verdict, now) for verdict in _first_of(active))
        if is_regular:
            self.has_new_verdict = False
        if not (crashes or cleared or verdicts):
            return []
        scope = relaying.SCOPE_BY_AUDIENCE[audience].value
        return [gossip.QuarantineUpdate(router, scope, crashes, cleared, verdicts)]

    def apply(self, message: gossip.QuarantineUpdate, audiences: tuple, now: float) -> None:
        """Apply a message of another router, and queue what is to be forwarded.

        Args:
          message: The message.
          audiences: Audiences to which its crashes and cleared fingerprints are forwarded.
          now: Monotonic seconds.
        """
        name = message.router.name
        for item in message.crashes:
            lost = [
                quarantine.LostRequest(entry.fingerprints, now - _seconds(entry.sent_ms_ago))
                for entry in item.lost
            ]
            self.crashes.apply_crash(item.incarnation, lost, name)
            self.crash_updates.add(item, audiences)
        self.crashes.apply_cleared(message.cleared)
        for fingerprint in message.cleared:
            self.cleared_updates.add(fingerprint, audiences)
        for item in message.verdicts:
            self.crashes.apply_verdict(verdict_of(item, now), name)
        if audiences and (message.crashes or message.cleared):
            self.announce()

    def apply_old_crashes(self, crashes: tuple[gossip.CrashUpdate, ...]) -> None:
        """Apply crashes as routers of version 0.2.0 report them: without the prompt parts."""
        now = self.clock.monotonic()
        for item in crashes:
            lost = [quarantine.LostRequest((name,), now) for name in item.fingerprints]
            self.crashes.apply_crash(item.incarnation, lost, "version 0.2.0")


def _first_of(verdicts: list[quarantine.Verdict]) -> Iterator[quarantine.Verdict]:
    """Yield the first verdicts, as many as have at most `MAX_SENT_FINGERPRINTS` together."""
    count = 0
    for verdict in verdicts:
        if count + len(verdict.members) <= MAX_SENT_FINGERPRINTS:
            count += len(verdict.members)
            yield verdict


def report(verdict: quarantine.Verdict, now: float) -> gossip.VerdictReport:
    """Return the report of a verdict.

    Args:
      verdict: The verdict.
      now: Monotonic seconds.
    """
    return gossip.VerdictReport(
        tuple(sorted(verdict.members)),
        verdict.crash,
        _milliseconds(now - verdict.decided_at),
        _milliseconds(verdict.term_seconds),
    )


def verdict_of(item: gossip.VerdictReport, now: float) -> quarantine.Verdict:
    """Return the verdict of a report, with this router's times.

    Args:
      item: The report.
      now: Monotonic seconds.
    """
    decided_at = now - _seconds(item.decided_ms_ago)
    return quarantine.Verdict(
        frozenset(item.members), item.crash, decided_at, _seconds(item.term_ms)
    )


def _milliseconds(seconds: float) -> int:
    return int(min(MAX_AGE_MS, max(0.0, seconds * 1000)))


def _seconds(milliseconds: int) -> float:
    return min(MAX_AGE_MS, max(0, milliseconds)) / 1000
