"""Quarantine of what requests that crash endpoints have in common.

A request is described by fingerprints: of its whole content and of the parts of its prompt. Requests
that crash endpoints may be alike in one part only, so crashes are counted for each fingerprint, and
a verdict names all fingerprints of one lost request that were lost in enough crashes. It applies to
the requests that contain all of them.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Sequence

from bronzemux import records

CRASHES_TO_QUARANTINE = 2
# After the first term one request tests whether the crashes have ended; each further crash
# multiplies the term.
FIRST_TERM_SECONDS = 120.0
TERM_FACTOR = 4.0
MAX_TERM_SECONDS = 3600.0
# Routers end a verdict at different times within this fraction of its term, so that one of them
# tests first and the others learn the outcome.
TERM_SPREAD_FRACTION = 0.2
SUSPECT_SECONDS = 600.0
# A fingerprint to which a response began within this time is known to be sound.
SOUND_SECONDS = 600.0
MAX_FINGERPRINTS = 50_000
MAX_VERDICTS = 1_000


def fingerprint(team: str, *content: bytes) -> str:
    """Return a hash that identifies the content of a request of one team.

    Args:
      team: Name of the team.
      *content: Parts of the body without the request id and the idempotency key.

    Returns:
      32 hexadecimal digits.
    """
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(len(team).to_bytes(4, "big"))
    hasher.update(team.encode())
    for part in content:
        hasher.update(part)
    return hasher.hexdigest()


def prefix_fingerprints(scope: str, text: bytes, lengths: Sequence[int]) -> tuple[str, ...]:
    """Return a hash of each of some beginnings of a prompt.

    Args:
      scope: What separates prompts that are not alike in spite of equal text.
      text: The prompt.
      lengths: Lengths of its beginnings in bytes, in ascending order.

    Returns:
      Hexadecimal digits.
    """
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(len(scope).to_bytes(4, "big"))
    hasher.update(scope.encode())
    found, start = [], 0
    for length in lengths:
        hasher.update(text[start:length])
        found.append(hasher.hexdigest())
        start = length
    return tuple(found)


@records.record
class LostRequest:
    """Request that was lost in the crash of an endpoint before its response began.

    Attributes:
      fingerprints: Its fingerprints, from the part that most requests share to the whole request.
      sent_at: Monotonic seconds at which it was sent to the endpoint.
    """

    fingerprints: tuple[str, ...]
    sent_at: float


@records.record
class Verdict:
    """Fingerprints that crash endpoints when one request has all of them.

    Attributes:
      members: The fingerprints.
      crash: Endpoint and incarnation of the crash that led to it.
      decided_at: Monotonic seconds of the decision.
      term_seconds: Time after which a request may test whether the crashes have ended.
    """

    members: frozenset[str]
    crash: str
    decided_at: float
    term_seconds: float

    @property
    def ends_at(self) -> float:
        """Return the monotonic seconds at which the term ends."""
        return self.decided_at + self.term_seconds


@records.state
class Evidence:
    """Crashes in which requests with one fingerprint were lost, with no response begun in between.

    Attributes:
      crashes: Monotonic seconds of each crash by endpoint and incarnation.
      term_seconds: Term of the last verdict, 0 before the first.
    """

    crashes: dict[str, float] = dataclasses.field(default_factory=dict)
    term_seconds: float = 0.0

    @property
    def last_crash_at(self) -> float:
        """Return the monotonic seconds of the last crash."""
        return max(self.crashes.values(), default=-1e9)


class Quarantine:
    """Fingerprints that are suspected of crashing endpoints, and verdicts about them.

    A request counts only when it was sent after the previous crash of the same fingerprint, so that
    endpoints that crash at the same time for another reason accuse no one. A response that begins
    clears the fingerprints of its request, as the endpoint did not crash on them. One that is known
    to be sound needs twice as many crashes, so that a busy part is not accused of the crashes of a
    rarer one in the same prompts while no endpoint is left to begin a response.

    Args:
      min_crashes: Number of crashes that lead to a verdict.
      is_nested: Whether each fingerprint of a request implies those before it, so that a verdict
        needs only the last one.
      spread: Position of this router among all, from 0 to 1, for the end of a term.

    Attributes:
      evidence: Crashes by fingerprint, the one with the oldest news first.
      verdicts: Verdicts by their members.
      begun_at: Monotonic seconds at which a response last began, by fingerprint.
    """

    def __init__(
        self,
        min_crashes: int = CRASHES_TO_QUARANTINE,
        is_nested: bool = False,
        spread: float = 0.0,
    ):
        self.min_crashes = min_crashes
        self.is_nested = is_nested
        self.spread = spread
        self.evidence: collections.OrderedDict[str, Evidence] = collections.OrderedDict()
        self.verdicts: collections.OrderedDict[frozenset[str], Verdict] = collections.OrderedDict()
        self.begun_at: collections.OrderedDict[str, float] = collections.OrderedDict()

    # Evidence

    def record_crash(
        self, endpoint: str, incarnation: str, lost: Iterable[LostRequest], now: float
    ) -> list[Verdict]:
        """Record the requests that were lost at an endpoint that crashed.

        Several reports of one crash, from different routers, count as one crash.

        Args:
          endpoint: Name of the endpoint.
          incarnation: Identity of the process that crashed.
          lost: Requests that were lost there.
          now: Monotonic seconds.

        Returns:
          New verdicts.
        """
        crash, lost = f"{endpoint}/{incarnation}", list(lost)
        self.expire(now)
        if any(self.is_quarantined(item.fingerprints, now) for item in lost):
            # The crash is explained: one of the requests was already known to cause crashes.
            return []
        for item in lost:
            for name in item.fingerprints:
                self._add_evidence(name, crash, item.sent_at, now)
        while len(self.evidence) > MAX_FINGERPRINTS:
            self.evidence.popitem(last=False)
        candidates = {self._accused(item.fingerprints, now) for item in lost} - {frozenset()}
        decided = []
        for members in sorted(candidates, key=len, reverse=True):
            if not self._is_explained(members, crash):
                decided.append(self._decide(members, crash, now))
        return decided

    def _add_evidence(self, name: str, crash: str, sent_at: float, now: float) -> None:
        known = self.evidence.setdefault(name, Evidence())
        self.evidence.move_to_end(name)
        for key in [key for key, at in known.crashes.items() if at <= now - SUSPECT_SECONDS]:
            del known.crashes[key]
        if crash not in known.crashes and sent_at >= known.last_crash_at:
            known.crashes[crash] = now

    def _accused(self, fingerprints: Sequence[str], now: float) -> frozenset[str]:
        """Return the fingerprints of one lost request that were lost in enough crashes."""
        found = [name for name in fingerprints if self._suspicion(name, now) >= self.min_crashes]
        return frozenset(found[-1:] if self.is_nested else found)

    def _is_explained(self, members: frozenset[str], crash: str) -> bool:
        """Return whether a more specific verdict was already reached for the same crash."""
        return any(
            verdict.crash == crash and members <= verdict.members
            for verdict in self.verdicts.values()
        )

    def _decide(self, members: frozenset[str], crash: str, now: float) -> Verdict:
        previous = max(self.evidence[name].term_seconds for name in members)
        term = min(MAX_TERM_SECONDS, previous * TERM_FACTOR) if previous else FIRST_TERM_SECONDS
        verdict = Verdict(members, crash, now, term)
        self._add(verdict)
        return verdict

    def _suspicion(self, name: str, now: float) -> int:
        """Return the crashes in which a fingerprint was lost, less those that soundness excuses."""
        known = self.evidence.get(name)
        if known is None:
            return 0
        excused = self.min_crashes if self._is_sound(name, now) else 0
        return max(0, len(known.crashes) - excused)

    def _is_sound(self, name: str, now: float) -> bool:
        return now - self.begun_at.get(name, -1e9) < SOUND_SECONDS

    def record_begun(self, fingerprints: Iterable[str], now: float) -> tuple[str, ...]:
        """Record that a response began to a request with these fingerprints, and clear them.

        Args:
          fingerprints: The fingerprints.
          now: Monotonic seconds.

        Returns:
          As `clear`.
        """
        for name in fingerprints:
            self.begun_at[name] = now
            self.begun_at.move_to_end(name)
        while len(self.begun_at) > MAX_FINGERPRINTS:
            self.begun_at.popitem(last=False)
        return self.clear(fingerprints)

    def clear(self, fingerprints: Iterable[str]) -> tuple[str, ...]:
        """Remove fingerprints from the suspects and the verdicts.

        Args:
          fingerprints: The fingerprints.

        Returns:
          Those that were suspected before, or part of a verdict.
        """
        if not self.evidence and not self.verdicts:
            return ()
        cleared = []
        for name in fingerprints:
            is_accused = self.evidence.pop(name, None) is not None
            for verdict in [v for v in self.verdicts.values() if name in v.members]:
                is_accused = True
                del self.verdicts[verdict.members]
                if rest := verdict.members - {name}:
                    self.verdicts[rest] = dataclasses.replace(verdict, members=rest)
            if is_accused:
                cleared.append(name)
        return tuple(cleared)

    def suspicion(self, fingerprints: Iterable[str], now: float) -> int:
        """Return the suspicion against a request: the number of crashes, 0 for none."""
        if not self.evidence:
            return 0
        return max((self._suspicion(name, now) for name in fingerprints), default=0)

    def most_suspected(
        self, fingerprints: Sequence[str], count: int, now: float
    ) -> tuple[str, ...]:
        """Return the fingerprints that were lost in the most crashes, in their given order.

        Args:
          fingerprints: The fingerprints.
          count: Largest number to return; of equal ones the last are returned.
          now: Monotonic seconds.
        """
        if len(fingerprints) <= count:
            return tuple(fingerprints)
        ranked = sorted(
            range(len(fingerprints)),
            key=lambda position: (self._suspicion(fingerprints[position], now), position),
        )
        return tuple(fingerprints[position] for position in sorted(ranked[-count:]))

    def prime_suspect(self, fingerprints: Iterable[str], now: float) -> str:
        """Return the last of the fingerprints with the most crashes, empty without suspicion."""
        best, best_count = "", 0
        for name in fingerprints:
            count = self._suspicion(name, now)
            if count >= max(1, best_count):
                best, best_count = name, count
        return best

    # Verdicts

    def _add(self, verdict: Verdict) -> None:
        self.verdicts[verdict.members] = verdict
        self.verdicts.move_to_end(verdict.members)
        while len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)

    def merge(self, verdict: Verdict, now: float) -> bool:
        """Add a verdict that another router reached or that was stored.

        Fingerprints that `contradicted` returns are left out.

        Args:
          verdict: The verdict.
          now: Monotonic seconds.

        Returns:
          Whether it was not known before.
        """
        members = verdict.members - set(self.contradicted(verdict))
        if not members or verdict.ends_at <= now:
            return False
        known = self.verdicts.get(members)
        if known is not None and known.ends_at >= verdict.ends_at - 1.0:
            return False
        if known is None and self._is_explained(members, verdict.crash):
            return False
        for other in [v for v in self.verdicts.values() if v.crash == verdict.crash]:
            if other.members < members:
                del self.verdicts[other.members]
        self._add(dataclasses.replace(verdict, members=members))
        return known is None

    def contradicted(self, verdict: Verdict) -> tuple[str, ...]:
        """Return the members of a verdict that this router knows to be sound.

        A response to them began here after the decision, or before it without enough crashes since.
        """
        return tuple(
            name
            for name in verdict.members
            if self._is_sound(name, verdict.decided_at)
            and self._suspicion(name, verdict.decided_at) < self.min_crashes
        )

    def verdict_for(self, fingerprints: Iterable[str], now: float) -> Verdict | None:
        """Return the verdict that applies to a request, None when none does.

        Args:
          fingerprints: Fingerprints of the request.
          now: Monotonic seconds.
        """
        if not self.verdicts:
            return None
        names = frozenset(fingerprints)
        for verdict in self.verdicts.values():
            if verdict.members <= names and not self._is_ended(verdict, now):
                return verdict
        return None

    def is_quarantined(self, fingerprints: Iterable[str], now: float) -> bool:
        """Return whether requests with these fingerprints are rejected."""
        return self.verdict_for(fingerprints, now) is not None

    def active(self, now: float) -> list[Verdict]:
        """Return the verdicts whose term has not ended, the newest first."""
        return [v for v in reversed(self.verdicts.values()) if v.ends_at > now]

    def expire(self, now: float) -> list[Verdict]:
        """End the verdicts whose term is over; return them.

        Their members are then suspects, and one more crash leads to the next verdict.
        """
        ended = [verdict for verdict in self.verdicts.values() if self._is_ended(verdict, now)]
        for verdict in ended:
            del self.verdicts[verdict.members]
            ended_at = self._local_end(verdict)
            for name in verdict.members:
                crashes = {f"{verdict.crash}#{n}": ended_at for n in range(self.min_crashes - 1)}
                self.evidence[name] = Evidence(crashes, verdict.term_seconds)
        return ended

    def _is_ended(self, verdict: Verdict, now: float) -> bool:
        return now >= self._local_end(verdict)

    def _local_end(self, verdict: Verdict) -> float:
        """Return the monotonic seconds at which this router ends a verdict."""
        return verdict.ends_at + TERM_SPREAD_FRACTION * self.spread * verdict.term_seconds
