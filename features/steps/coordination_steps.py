"""Steps of coordination.feature."""

import dataclasses

from behave import given, then, when

from bronzemux.gateway import gossip, model, peering, router_ranking, routers, settings

STRONG_CORES = 2.15


def _router(number: int, cores: float) -> gossip.Router:
    address = f"10.0.{number // 250}.{number % 250 + 1}"
    return gossip.Router(
        f"vm-{number}", 1, f"{address}:1", f"{address}:2", f"dc-{number % 4}", True, cores
    )


def _hear_all(context) -> None:
    for router in context.others:
        context.members.record_status(router, context.now)


@given("{strong:d} routers of 2.15 cores and {weak:d} of {cores:g} that know each other")
def step_routers(context, strong, weak, cores):
    found = [_router(n, STRONG_CORES) for n in range(strong)]
    found += [_router(strong + n, cores) for n in range(weak)]
    context.now = 100.0
    context.members = routers.RouterTable(found[0])
    context.others = found[1:]
    _hear_all(context)


@given("a configuration with an objective for pauses of {seconds:g} s")
def step_configuration(context, seconds):
    route = model.Route(
        "r",
        "h",
        "/",
        model.RouteKind.STREAM,
        (model.Share("lm", 1.0),),
        5.0,
        0.5,
        pause_objective_seconds=seconds,
    )
    configuration = model.Configuration(1, {"h": (route,)}, {})
    minimum = settings.GatewaySettings.min_pause_objective_seconds
    context.members.coordinate(
        router_ranking.coordination_for(configuration.longest_pause_objective(), minimum)
    )


@when("{count:d} of the strong routers are lost")
def step_lost(context, count):
    strong = [router for router in context.others if router.cpu_cores == STRONG_CORES]
    context.others = [router for router in context.others if router not in strong[:count]]
    context.now += routers.FAILURE_TIMEOUT_SECONDS - 0.1
    for router in context.others:
        newer = dataclasses.replace(router, sequence=router.sequence + 1)
        context.members.record_status(newer, context.now)
    context.now += 0.2


@when("no messages arrive for {seconds:g} s")
def step_silence(context, seconds):
    context.now += seconds


@then("callers are directed to {count:d} routers")
def step_advertised(context, count):
    found = context.members.advertised(context.now)
    assert len(found) == count, len(found)


@then("a router that serves callers sends a status message each {seconds:g} s")
def step_interval(context, seconds):
    interval = peering.status_interval(context.members, has_requests=True, now=context.now)
    assert interval == seconds, interval
