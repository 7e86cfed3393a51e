"""Seeded run of thousands of requests under faults, with a checker of the users' promises."""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import collections
import dataclasses
import json
import random
import sys

import gevent

from bronzemux import (
    clock,
    config_edit,
    config_store,
    development,
    errors,
    http_client,
    porcelain,
    standin_answer,
    standin_engine,
    standin_platform,
)
from features import support

CHAT = "/v1/chat/completions"
FILING = "/services/cases/filings"
STATUS = "/services/cases/status/1"
WORDS = 12
MAX_REPEATS = 80
REPEAT_SECONDS = 0.15
QUIET_SECONDS = 0.4
KINDS = ("stream", "whole", "filing", "letter", "status")
KIND_WEIGHTS = (35, 15, 30, 10, 10)
TEAMS = ("caseworkers", "lawyers", "public-portal")
FAULTS = (
    "engine crash",
    "engine silence",
    "engine refuses",
    "parts lost",
    "parts doubled",
    "answers crossed",
    "events lost",
    "service crash before",
    "service crash after",
    "service refuses",
    "service silent",
    "service late",
    "service crossed",
    "service cut in answer",
    "platform down",
    "platform silence",
    "platform slow",
    "platform answers lost",
    "router crash",
    "router herd",
    "configuration change",
    "configuration race",
)


@dataclasses.dataclass
class Caller:
    """One caller with one request that it repeats as the answers allow.

    Attributes:
      kind: One of `KINDS`.
      team: Name of the team.
      key: Idempotency key.
      replies: Outcomes in order; ``broken`` when the connection broke.
      is_satisfied: Whether it got its whole answer.
    """

    kind: str
    team: str
    key: str
    replies: list[str] = dataclasses.field(default_factory=list)
    is_satisfied: bool = False


class Run:
    """A run and its checker.

    Args:
      deployment: A started development deployment of the centre.
      seed: Seed of requests and faults.
      faults: Kinds of faults that are drawn.
      fault_seconds: Mean time between faults; 0 for none.
    """

    def __init__(self, deployment, seed: int, faults=FAULTS, fault_seconds: float = 0.25):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.faults = faults
        self.fault_seconds = fault_seconds
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.callers: list[Caller] = []
        self.is_over = False
        self.crashed: set[tuple[str, str]] = set()

    def run(self, count: int, rate: float) -> None:
        """Send requests at a rate under faults, then let everything settle and check."""
        injector = gevent.spawn(self._inject)
        jobs = []
        for number in range(count):
            kind = self.random.choices(KINDS, KIND_WEIGHTS)[0]
            caller = Caller(kind, self.random.choice(TEAMS), f"key-{number}")
            if kind == "letter":
                caller.team = "intake"
            self.callers.append(caller)
            jobs.append(gevent.spawn(self._serve, caller, random.Random(number)))
            gevent.sleep(self.random.expovariate(rate))
        self.is_over = True
        injector.join()
        self._heal()
        gevent.joinall(jobs, raise_error=True)
        self._check()

    # Callers

    def _serve(self, caller: Caller, source: random.Random) -> None:
        for _ in range(MAX_REPEATS):
            position = source.randrange(len(self.deployment.routers))
            outcome = self._attempt(caller, position)
            caller.replies.append(outcome)
            self.counts[f"{caller.kind} {outcome}"] += 1
            if self._is_done(caller, outcome):
                return
            gevent.sleep(REPEAT_SECONDS * (1 + source.random()))

    def _is_done(self, caller: Caller, outcome: str) -> bool:
        if outcome == "condemned":
            return True
        if outcome == "ran":
            caller.is_satisfied = True
            return True
        return outcome == "unknown" and caller.kind in ("filing", "letter")

    def _attempt(self, caller: Caller, position: int) -> str:
        try:
            return self._send(caller, position)
        except errors.EndpointError:
            return "broken"

    def _send(self, caller: Caller, position: int) -> str:
        address = support.router_address(self.deployment, position)
        key = self.deployment.key(caller.team)
        headers = {"Idempotency-Key": caller.key} if caller.kind in ("filing", "letter") else {}
        if caller.kind == "status":
            reply = support.send(address, "GET", STATUS, key)
        elif caller.kind == "filing":
            reply = support.send(address, "POST", FILING, key, caller.key.encode(), headers)
        else:
            reply = support.send(address, "POST", CHAT, key, self._chat(caller), headers)
        return self._judge(caller, reply)

    def _chat(self, caller: Caller) -> bytes:
        content = support.LONG_TEXT[:9000] + caller.key
        body = {
            "model": "statute-7b",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": WORDS,
            "stream": caller.kind == "stream",
        }
        return json.dumps(body).encode()

    # Checks of one reply

    def _judge(self, caller: Caller, reply: support.Reply) -> str:
        outcome = reply.headers.get("X-Outcome", "broken")
        if reply.status == 409:
            return "in progress"
        if outcome == "not-run":
            self._check_not_run(caller)
        if reply.status != 200:
            kind = reply.json()["error"]["type"]
            return "condemned" if kind == "request_quarantined" else outcome
        if caller.kind == "stream":
            return self._judge_stream(caller, reply)
        if caller.kind in ("whole", "letter"):
            text = reply.json()["choices"][0]["message"]["content"]
            self._check_text(caller, reply, text)
        if caller.kind == "filing":
            self._check_filing(caller, reply)
        return outcome

    def _check_not_run(self, caller: Caller) -> None:
        """A first reply that says so must be true; so must one after such replies only."""
        is_first = all(reply == "not-run" for reply in caller.replies)
        if is_first and self._executions(caller):
            self._violate("false not-run", caller)

    def _judge_stream(self, caller: Caller, reply: support.Reply) -> str:
        numbers, text, is_done = [], "", False
        for event in http_client.iter_events(iter([reply.body])):
            lines = dict(
                line.split(b": ", 1) for line in event.split(b"\n") if line and line[:1] != b":"
            )
            data = lines[b"data"]
            is_done = data == b"[DONE]"
            if b"id" not in lines:
                return json.loads(data)["error"]["outcome"]
            numbers.append(int(lines[b"id"]))
            if not is_done:
                choices = json.loads(data)["choices"]
                text += "".join(c["delta"].get("content") or "" for c in choices)
        if numbers != sorted(set(numbers)):
            self._violate("stream out of order", caller)
        if not is_done:
            return "broken"
        self._check_text(caller, reply, text)
        return "ran"

    def _check_text(self, caller: Caller, reply: support.Reply, text: str) -> None:
        if not standin_answer.is_whole_answer(text, WORDS):
            self._violate("answer not whole", caller)
        elif "X-Idempotent-Replay" not in reply.headers:
            owner = text.split()[0].strip("<>").partition(".")[2].partition(".")[0]
            if owner != reply.headers["X-Request-Id"]:
                self._violate("crossed answer", caller)

    def _check_filing(self, caller: Caller, reply: support.Reply) -> None:
        executions = self._executions(caller)
        number = reply.json().get("filing")
        if number not in [filing.number for filing in executions]:
            self._violate("answer of another filing", caller)

    def _executions(self, caller: Caller) -> list:
        if caller.kind == "filing":
            services = self.deployment.services.values()
            return [f for s in services for f in s.filings if f.content == caller.key.encode()]
        if caller.kind == "letter":
            found = self.deployment.executions()
            return [item for item in found if item.idempotency_key == caller.key]
        return []

    def _violate(self, promise: str, caller: Caller) -> None:
        self.violations.append(f"{promise}: {caller.kind} {caller.key} after {caller.replies}")

    # Checks of the whole run

    def _check(self) -> None:
        for caller in self.callers:
            if caller.replies[-1] == "condemned":
                self._check_condemned(caller)
                continue
            count = len(self._executions(caller))
            if count > 1:
                self._violate(f"ran {count} times", caller)
            if caller.kind in ("filing", "letter") and caller.is_satisfied and count != 1:
                self._violate("answered without running", caller)
            if caller.kind not in ("filing", "letter") and not caller.is_satisfied:
                self._violate("lost", caller)
            is_open = caller.kind in ("filing", "letter") and not caller.is_satisfied
            if is_open and caller.replies[-1] != "unknown":
                self._violate("lost", caller)

    def _check_condemned(self, caller: Caller) -> None:
        """A request may be refused as crashing engines when two engines died while they ran it."""
        ends = (f"{caller.key}\n", caller.key)
        found = {
            (item.endpoint, item.incarnation)
            for item in self.deployment.executions()
            if item.tail.endswith(ends)
        }
        if len(found & self.crashed) < 2:
            self._violate("condemned innocent", caller)
        self.counts["condemned after two deaths"] += 1

    # Faults

    def _inject(self) -> None:
        while not self.is_over and self.fault_seconds:
            gevent.sleep(self.random.expovariate(1 / self.fault_seconds))
            for kind in self.random.sample(self.faults, min(2, len(self.faults))):
                self.counts[f"fault {kind}"] += 1
                gevent.spawn(self._fault, kind)

    def _fault(self, kind: str) -> None:
        group, _, what = kind.partition(" ")
        {
            "engine": self._engine_fault,
            "parts": self._part_fault,
            "answers": self._part_fault,
            "events": self._part_fault,
            "service": self._service_fault,
            "platform": self._platform_fault,
            "router": self._router_fault,
            "configuration": self._configuration_fault,
        }[group](what)

    def _engine_fault(self, what: str) -> None:
        engine = self.random.choice(list(self.deployment.engines.values()))
        if not engine.is_up:
            return
        if what == "crash":
            self.crashed.add((engine.settings.name, engine.incarnation))
            engine.crash()
            gevent.sleep(QUIET_SECONDS)
            engine.restart()
        elif what == "silence":
            engine.mute_open_connections()
        else:
            engine.faults.refuses = True
            gevent.sleep(QUIET_SECONDS)
            engine.faults.refuses = False

    def _part_fault(self, what: str) -> None:
        engine = self.random.choice(list(self.deployment.engines.values()))
        faults = engine.faults
        if what == "crossed":
            faults.crossed_answers = 2
        elif what == "doubled":
            faults.doubled_parts = 5
        elif engine.faults.dropped_events or self.random.random() < 0.5:
            faults.skipped_parts = 2
        else:
            faults.dropped_events = 20

    def _service_fault(self, what: str) -> None:
        modes = {
            "crash before": "crash_before",
            "crash after": "crash_after",
            "refuses": "refuse",
            "silent": "silent_after",
            "late": "late",
            "crossed": "crossed",
            "cut in answer": "cut_in_answer",
        }
        service = self.random.choice(list(self.deployment.services.values()))
        service.next_modes = [modes[what]] * 2

    def _platform_fault(self, what: str) -> None:
        faults = self.deployment.platform.faults
        if what == "answers lost":
            faults.lost_answers = 3
            return
        if what == "silence":
            self.deployment.platform.mute_open_connections()
            return
        if what == "down":
            faults.is_down = True
        else:
            faults.delay_seconds = 0.1
        gevent.sleep(QUIET_SECONDS)
        faults.is_down = False
        faults.delay_seconds = 0.0

    def _router_fault(self, what: str) -> None:
        count = len(self.deployment.routers)
        positions = range(count) if what == "herd" else [self.random.randrange(count)]
        lost = [n for n in positions if self.deployment.routers[n].server.started]
        for position in lost:
            self.deployment.crash_router(position)
        gevent.sleep(QUIET_SECONDS)
        for position in lost:
            self.deployment.start_router(position)

    def _configuration_fault(self, what: str) -> None:
        operators = 2 if what == "race" else 1
        gevent.joinall([gevent.spawn(self._use_preset) for _ in range(operators)])

    def _use_preset(self) -> None:
        preset = self.random.choice(("ordinary", "peak", "maintenance"))
        store = config_store.ConfigStore(self.deployment.platform.table, clock.SystemClock())
        try:
            porcelain.edit_config(store, config_edit.use_preset(preset), "run", preset)
        except errors.ConfigConflictError:
            self.counts["configuration conflicts"] += 1

    def _heal(self) -> None:
        gevent.sleep(2 * QUIET_SECONDS)
        self.deployment.platform.faults = standin_platform.Faults()
        for engine in self.deployment.engines.values():
            engine.faults = standin_engine.Faults()
            if not engine.is_up:
                engine.restart()
        for service in self.deployment.services.values():
            service.next_modes = []

    def unknown_share(self) -> float:
        """Return the share of non-idempotent requests whose outcome stayed unknown."""
        filed = [c for c in self.callers if c.kind in ("filing", "letter")]
        unknown = [c for c in filed if c.replies and c.replies[-1] == "unknown"]
        return len(unknown) / max(1, len(filed))


def unlimited(text: str) -> str:
    """Return a document whose teams have no limits in practice."""
    from bronzemux import config, config_edit

    for team in config.loads(text).teams:
        wanted = config.Limits(1e6, 1e12, 10_000)
        text = config_edit.edit(text, config_edit.set_limits(team.name, wanted))
    return text


def main(arguments: list[str]) -> int:
    """Run from the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    settings = development.DevelopmentSettings(
        text=unlimited(support.example("centre")),
        routers=3,
        token_seconds=0.002,
        speed=20.0,
        progress_seconds=0.5,
        late_answer_seconds=2.0,
    )
    deployment = development.Development(settings, clock.SystemClock())
    deployment.start()
    run = Run(deployment, options.seed)
    run.run(options.requests, options.rate)
    deployment.stop()
    for name, count in sorted(run.counts.items()):
        print(f"{count:7d}  {name}")
    print(f"unknown outcomes: {run.unknown_share():.4f} of non-idempotent requests")
    for violation in run.violations:
        print(f"violation: {violation}")
    print(f"{len(run.violations)} violations in {options.requests} requests, seed {options.seed}")
    return 1 if run.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
