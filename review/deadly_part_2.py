"""Requests with a prompt part that crashes each worker that begins to answer them."""

import asyncio
import time

import standins_2 as kit

WORKERS, GATEWAYS = 5, 2
SECONDS = 30.0
DEADLY_PART = "dead0001"
# Crashes before routers have to know, the time until then, and the requests that are tolerated.
KNOWN_CRASHES, STABLE_SECONDS, TOLERATED = 5, 3.0, 3
RESTART_SECONDS = 2.0


async def play(
    record, folder, has_trouble, children, deadly_events: int, parts_before: int
) -> bool:
    """Play the case; return whether the rule was broken.

    Args:
      deadly_events: Whole events of an answer that a worker writes before it crashes.
      parts_before: Parts of a prompt before the one that crashes workers.
    """
    store = kit.Store()
    await store.start()
    engine = {"slots": 64, "kv_capacity_tokens": 106752, "models": [{"name": kit.MODEL}]}
    routes = [kit.route("classify", "stream", "lm-pool", resumable=True)]
    services = [{"name": "lm-pool", "health_path": "/health", "max_conns": 360, "engine": engine}]
    store.put("op", "config", kit.configuration(routes, services))
    store.put("op", f"version/{kit.MODEL}", {"model": kit.MODEL, "version": 1})

    crashes, deadly_ids, arrivals = [], set(), []
    starts = iter(range(1, 1000))
    is_over = asyncio.Event()

    async def run_worker() -> None:
        while not is_over.is_set():
            worker = kit.WorkerProcess(
                f"lm-{next(starts)}",
                "lm-pool",
                store,
                record,
                model=kit.MODEL,
                deadly_part=DEADLY_PART if has_trouble else "",
                deadly_events=deadly_events,
            )
            children.append(worker)

            def on_event(event) -> None:
                if event["event"] == "crashes":
                    crashes.append(event["t"])
                elif event["event"] == "runs" and event["id"] in deadly_ids:
                    arrivals.append((event["t"], event["id"]))

            worker.on_event = on_event
            await worker.start()
            await worker.process.wait()
            # A worker that crashes writes nothing; its entry lapses after three heartbeats.
            asyncio.get_running_loop().call_later(
                3 * kit.HEARTBEAT_SECONDS, store.remove, "servers", worker.identity
            )
            await asyncio.sleep(RESTART_SECONDS)

    tasks = [asyncio.ensure_future(run_worker()) for _ in range(WORKERS)]
    await asyncio.sleep(1.0)
    gateways = [kit.Gateway(f"front-{n}", store.address, folder) for n in range(GATEWAYS)]
    children += gateways
    for gateway in gateways:
        await gateway.start([found.control for found in gateways])
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)

    replies = {"sound": [], "deadly": []}

    async def call(kind: str, number: int) -> None:
        identity = f"{kind}-{number}"
        if kind == "deadly":
            deadly_ids.add(identity)
        part = DEADLY_PART if kind == "deadly" else "5afe0001"
        before = [f"aa{turn:06x}:{200 if turn == 0 else 10}" for turn in range(parts_before)]
        prompt = ",".join([*before, f"{part}:300", f"{number:08x}:100"])
        tokens = f"{200 + 10 * (parts_before - 1) + 400},8"
        fields = kit.request_fields(identity, 6000, prompt=prompt, tokens=tokens)
        gateway = gateways[number % GATEWAYS]
        reply = await kit.send(gateway.front, "POST", f"/classify/{number}", fields, b"x" * 500)
        replies[kind].append(reply)
        whole = "whole" if reply.is_complete else f"broken off ({reply.error})"
        record.write(
            f"{identity} sent to {gateway.name} at {reply.sent_at - record.started_at:.3f}: "
            f"{reply.status} {whole}, events {len(reply.event_ids())}"
        )

    started_at, calls, number = time.monotonic(), [], 0
    while time.monotonic() < started_at + SECONDS:
        number += 1
        kind = "deadly" if number % 10 == 0 else "sound"
        calls.append(asyncio.ensure_future(call(kind, number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)
    is_over.set()
    for task in tasks:
        task.cancel()

    crashes.sort()
    late = []
    if len(crashes) >= KNOWN_CRASHES:
        from_time = crashes[KNOWN_CRASHES - 1] + STABLE_SECONDS
        late = [identity for at, identity in arrivals if at > from_time]
    served = {
        kind: sum(r.is_complete and r.status == 200 for r in found)
        for kind, found in replies.items()
    }
    record.write(
        f"crashes {len(crashes)}, requests with the part that reached workers {len(arrivals)}"
    )
    record.write(f"of these later than {STABLE_SECONDS} s after crash {KNOWN_CRASHES}: {len(late)}")
    record.write(f"served whole: {served}, sent: { {k: len(v) for k, v in replies.items()} }")
    return len(late) > TOLERATED
