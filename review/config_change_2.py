"""Requests of an isolated and another tenant wait for an engine while the configuration changes."""

import asyncio
import time

import standins_2 as kit

WORKERS, GATEWAYS = 3, 2
RATE, SECONDS, CHANGE_AT = 27.0, 14.0, 7.0
ISOLATED, OTHERS = "lawyers", "clerks"


async def play(record, folder, has_trouble, children, has_new_service: bool, drops_tenant: bool):
    """Play the case; return whether the rule was broken.

    Args:
      has_new_service: Whether the change moves the route to a new service and drops the old one.
      drops_tenant: Whether the change drops the isolated tenant.
    """
    store = kit.Store()
    await store.start()
    engine = {"slots": 64, "kv_capacity_tokens": 106752, "models": [{"name": kit.MODEL}]}

    def configure(version: int, service: str, tenants) -> None:
        """Write a configuration with one model service, to which the route leads."""
        routes = [kit.route("classify", "stream", service, resumable=True)]
        entry = {"name": service, "health_path": "/health", "max_conns": 360, "engine": engine}
        isolated = (ISOLATED,)
        store.put("op", "config", kit.configuration(routes, [entry], version, tenants, isolated))
        record.write(
            f"the operator writes version {version}: the route leads to {service}, "
            f"tenants {', '.join(tenants)} ({ISOLATED} isolated)"
        )

    configure(1, "lm-old", (OTHERS, ISOLATED))
    store.put("op", f"version/{kit.MODEL}", {"model": kit.MODEL, "version": 1})
    shared, unsalted = [], []

    def on_event(event) -> None:
        if event["event"] == "runs" and not event["salt"]:
            unsalted.append(event["id"])
        if event["event"] != "reads":
            return
        for kept in event["kept"]:
            maker = kept.partition(":")[2]
            if maker != event["tenant"] and ISOLATED in (maker, event["tenant"]):
                shared.append(event["id"])
                return

    for service in ("lm-old", "lm-new") if has_new_service else ("lm-old",):
        for number in range(WORKERS):
            worker = kit.WorkerProcess(
                f"{service}-{number}",
                service,
                store,
                record,
                model=kit.MODEL,
                prefill_tokens_per_ms=42.8,
                events=13,
                event_seconds=0.08,
            )
            children.append(worker)
            worker.on_event = on_event
            await worker.start()
    await asyncio.sleep(1.0)
    gateways = [kit.Gateway(f"front-{n}", store.address, folder) for n in range(GATEWAYS)]
    children += gateways
    for gateway in gateways:
        await gateway.start([found.control for found in gateways])
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)

    replies = []

    async def call(number: int) -> None:
        identity, tenant = f"q{number}", ISOLATED if number % 3 == 0 else OTHERS
        prompt = f"57a70001:6300,{number:08x}:2890"
        fields = kit.request_fields(identity, 6000, tenant, prompt, "9190,13")
        gateway = gateways[number % GATEWAYS]
        reply = await kit.send(gateway.front, "POST", f"/classify/{number}", fields, b"x" * 500)
        replies.append(reply)
        record.write(
            f"{identity} of {tenant} sent to {gateway.name} at "
            f"{reply.sent_at - record.started_at:.3f}: {reply.status}, whole: {reply.is_complete}"
        )

    calls, number, started_at, is_changed = [], 0, time.monotonic(), not has_trouble
    while time.monotonic() < started_at + SECONDS:
        number += 1
        calls.append(asyncio.ensure_future(call(number)))
        if not is_changed and time.monotonic() > started_at + CHANGE_AT:
            is_changed = True
            configure(
                2,
                "lm-new" if has_new_service else "lm-old",
                (OTHERS,) if drops_tenant else (OTHERS, ISOLATED),
            )
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*calls)
    served = sum(reply.status == 200 and reply.is_complete for reply in replies)
    record.write(f"requests {len(replies)}, served {served}")
    record.write(f"run without a salt: {len(unsalted)}: {' '.join(unsalted)}")
    record.write(f"that used parts across a wall: {len(shared)}: {' '.join(shared)}")
    return bool(shared)
