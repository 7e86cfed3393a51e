"""Steps for the namespaces of cached prompt parts."""

import itertools
import json
import math
import random
import time

import gevent
from behave import then, when

from bronzemux.gateway import cache_index, model, placement
from bronzemux.platform import documents, standin_worker
from features import gateway_support

SEED = 20261205
# Time for which endpoints run requests while the configuration changes.
EXECUTION_SECONDS = 0.4
# A request that cannot be served is refused in far less than its deadline of 2 s.
REFUSED_SECONDS = 0.5
TEAMS = ("clerks", "lawyers", "auditors", "press")


def isolate(context, names: str, **changes) -> None:
    """Put a configuration that isolates teams, and wait until the gateways have it.

    Args:
      names: Names of the isolated teams, with commas.
      **changes: Fields of the configuration that differ from the default.
    """
    isolated = set(names.split(",")) - {"none"}
    teams = [
        {"name": name, "api_keys": [key], "isolated": name in isolated}
        for name, key in gateway_support.KEYS.items()
    ]
    context.site.configure(tenants=teams, **changes)


def send(context, team: str) -> gateway_support.Reply:
    """Send a stream request of a team."""
    authorization = f"Bearer {gateway_support.KEYS[team]}"
    return context.site.send("/classify/1", Authorization=authorization)


def salts(context) -> list[str]:
    """Return the cache salts of the requests that were executed, in their order."""
    executed = [seen for worker in context.site.workers.values() for seen in worker.executed]
    executed.sort(key=lambda seen: int(seen.fields["request-id"][1:]))
    return [seen.fields["cache-salt"] for seen in executed]


@when('the teams "{names}" are isolated, and "{team}" sends a request')
def step_isolate_and_send(context, names, team):
    isolate(context, names)
    assert send(context, team).is_whole


@when('"{team}" sends a request')
def step_send(context, team):
    assert send(context, team).is_whole


def send_waiting(context, teams, change) -> None:
    """Send requests of teams that wait for an endpoint until the configuration has changed."""
    gateway = context.site.gateways[0]
    states = gateway.endpoints.states.values()
    for state in states:
        state.suspended_until = math.inf
    requests = [gevent.spawn(send, context, team) for team in teams]
    gateway_support.wait_for(lambda: gateway.components.wait_queue.count("lm") == len(requests))
    change()
    for state in states:
        state.suspended_until = 0.0
    assert all(r.get(timeout=gateway_support.TIMEOUT_SECONDS).is_whole for r in requests)


def send_interrupted(context, teams, fault: standin_worker.Fault, change) -> None:
    """Send requests of teams whose endpoint breaks off once the configuration has changed."""
    for worker in context.site.workers.values():
        worker.fault = fault
        worker.execution_seconds = EXECUTION_SECONDS
    requests = [gevent.spawn(send, context, team) for team in teams]
    gateway = context.site.gateways[0]
    gateway_support.wait_for(lambda: gateway.forwarder.in_flight == len(requests))
    change()
    gevent.sleep(EXECUTION_SECONDS)
    for worker in context.site.workers.values():
        worker.fault = standin_worker.Fault.NONE
    assert all(r.get(timeout=gateway_support.TIMEOUT_SECONDS).is_whole for r in requests)


@when('a request of "{team}" waits until the team is isolated')
def step_wait(context, team):
    send_waiting(context, [team], lambda: isolate(context, team))


@when('a request of "{team}" {state} until the team {change}')
def step_wait_until(context, team, state, change):
    def apply() -> None:
        if change == "is no longer isolated":
            isolate(context, "none")
        else:
            rest = [
                {"name": n, "api_keys": [k]} for n, k in gateway_support.KEYS.items() if n != team
            ]
            context.site.configure(tenants=rest)

    if state == "waits":
        send_waiting(context, [team], apply)
    else:
        send_interrupted(context, [team], standin_worker.Fault.RUN_AND_RESET, apply)


@then("no two teams' requests ran with one salt")
def step_separate_salts(context):
    teams_by_salt = {}
    for worker in context.site.workers.values():
        for seen in worker.executed:
            teams_by_salt.setdefault(seen.fields["cache-salt"], set()).add(seen.fields["tenant"])
    assert all(len(teams) == 1 for teams in teams_by_salt.values()), teams_by_salt
    assert len(set.union(*teams_by_salt.values())) == len(gateway_support.KEYS)


def move_route(context, without: str) -> None:
    """Move the routes of "lm" to a new service.

    Args:
      without: Whether the old service "is dropped" or "has no engines listed".
    """
    changes = gateway_support.replaced_engines()
    if without == "has no engines listed":
        changes["services"].append({"name": "lm", "health_path": "/health", "max_conns": 96})
    isolate(context, "lawyers", **changes)


@when(
    'requests of "lawyers" and "clerks" {state} while their route moves and their service {without}'
)
def step_move(context, state, without):
    def change() -> None:
        move_route(context, without)

    if state == "wait for an endpoint":
        send_waiting(context, gateway_support.KEYS, change)
    elif state == "run at an endpoint that breaks off":
        send_interrupted(context, gateway_support.KEYS, standin_worker.Fault.RUN_AND_RESET, change)
    else:
        send_interrupted(context, gateway_support.KEYS, standin_worker.Fault.CUT_STREAM, change)


@then("each team's requests ran with one salt, and on the weights that it names")
def step_one_salt(context):
    salts_by_team = {}
    for worker in context.site.workers.values():
        for seen in worker.executed:
            fields = seen.fields
            assert fields.get("cache-salt") and fields.get("expect-version") == "1", fields
            salts_by_team.setdefault(fields["tenant"], set()).add(fields["cache-salt"])
    assert salts_by_team and all(len(found) == 1 for found in salts_by_team.values())
    assert len(set.union(*salts_by_team.values())) == len(salts_by_team), salts_by_team


@when('the service "lm" gets its engines while a request for it connects to an endpoint')
def step_becomes_engine(context):
    app, lm = gateway_support.configuration()["services"]
    plain = {name: value for name, value in lm.items() if name != "engine"}
    isolate(context, "none", services=[app, plain])
    pool = context.site.gateways[0].components.pool
    connect = pool.open

    def open_late(address: str):
        if not context.site.gateways[0].cluster_state.configuration.services["lm"].engine:
            isolate(context, "none")
        return connect(address)

    pool.open = open_late
    assert send(context, "clerks").is_whole


@when('the service "lm" is dropped, but not its route')
def step_drop_service(context):
    isolate(context, "none", services=gateway_support.configuration()["services"][:1])


@when('"{team}" sends a request that may be refused')
def step_send_refused(context, team):
    started_at = time.monotonic()
    context.reply = send(context, team)
    context.reply_seconds = time.monotonic() - started_at


@then("it is refused at once with 503, and nothing ran")
def step_refused(context):
    assert context.reply.status == 503, context.reply
    assert context.reply_seconds < REFUSED_SECONDS, context.reply_seconds
    assert not any(worker.executed for worker in context.site.workers.values())


@when('the gateway restarts, and "{team}" sends a request')
def step_restart(context, team):
    gateway_support.stop_gateway(context.site.gateways[0])
    context.site.restart_gateway(0)
    assert send(context, team).is_whole


@then("the second request {uses} the namespace of the first")
def step_compare(context, uses):
    first, second = salts(context)[-2:]
    assert (first == second) == (uses == "uses"), (first, second)


@when('a configuration has the teams "{entries}"')
def step_entries(context, entries):
    teams = []
    for number, entry in enumerate(entries.split(", ")):
        name, _, properties = entry.partition(" ")
        teams.append(
            {
                "name": name,
                "api_keys": [f"key-{number}"] if "with key" in properties else [],
                "isolated": "isolated" in properties,
            }
        )
    data = json.dumps(gateway_support.configuration(tenants=teams)).encode()
    context.configuration = documents.decode_configuration(data)


@then('"{name}" is isolated')
def step_is_isolated(context, name):
    assert name in context.configuration.isolated_teams, context.configuration.isolated_teams


def salt_of(name: str, isolated: frozenset[str]) -> str:
    """Return the cache salt of a team's requests while some teams are isolated."""
    namespace = cache_index.namespace_of(model.Team(name, frozenset()), isolated)
    return placement.cache_salt("m1", 1, namespace)


@when(
    "{count:d} histories of {length:d} configurations are played with {routers:d} routers that may be behind"
)
def step_histories(context, count, length, routers):
    rng = random.Random(SEED)
    context.foreign_uses = []
    context.shared_uses = 0
    for _ in range(count):
        # Teams that have computed parts under each salt.
        makers: dict[str, set[str]] = {}
        versions = [0] * routers
        history = []
        for newest in range(length):
            isolated = frozenset(name for name in TEAMS if rng.random() < 0.3)
            history.append(isolated)
            for router in range(routers):
                versions[router] = rng.randint(versions[router], newest)
            for router, name in itertools.product(range(routers), TEAMS):
                if rng.random() < 0.5:
                    makers.setdefault(salt_of(name, history[versions[router]]), set()).add(name)
            for name in TEAMS:
                others = makers.get(salt_of(name, isolated), set()) - {name}
                context.shared_uses += bool(others)
                if others and isolated & {name, *others}:
                    context.foreign_uses.append((newest, name, others, isolated))


@then("no request uses parts of another team if one of the two is isolated")
def step_no_foreign_use(context):
    assert not context.foreign_uses, context.foreign_uses[:3]
    assert context.shared_uses, "no request shared any part"


@then('models, weights and teams with names such as "a", "a/1", "team" and "é" never share a salt')
def step_salts_differ(context):
    names = ["a", "a/1", "a/1/2", "team", "1", "é", "", "a\0b"]
    groups = [frozenset(), *map(frozenset, [["a"], ["é"], ["a", "é"], ["a\0é"], ["aé"], [""]])]
    namespaces = set()
    for group in groups:
        teams = [None, *(model.Team(name, frozenset()) for name in group)]
        namespaces |= {cache_index.namespace_of(team, group) for team in teams}
    assert len(namespaces) == len(groups) + len({n for group in groups for n in group})
    salts_of_all = [
        placement.cache_salt(name, weights, namespace)
        for name in names
        for weights in (1, 2, 12)
        for namespace in namespaces
    ]
    assert len(set(salts_of_all)) == len(salts_of_all)
    assert all(salt.encode("latin-1", "replace").decode("latin-1") == salt for salt in salts_of_all)
