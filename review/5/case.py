"""A new configuration isolates a tenant whose prompt parts others share until then."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import gevent

from review import harness

REQUESTS = 10
PARTS = "5c1e07a2:800,91bd3f06:410,"


class CachingWorker(harness.Worker):
    """Keeps the parts of prompts under their salt, as long as it runs."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Tenant whose request made a part, by salt and the ids of the parts up to it.
        self.makers: dict[tuple[str, ...], str] = {}
        self.uses: list[tuple[str, str, str, str]] = []

    def run(self, sock, request):
        """Run a request."""
        tenant = request.fields.get("tenant", "")
        ids = [part.split(":")[0] for part in request.fields["prompt-prefix"].split(",")]
        salt = request.fields.get("cache-salt", "")
        for count in range(1, len(ids) + 1):
            maker = self.makers.setdefault((salt, *ids[:count]), tenant)
            if maker != tenant:
                self.uses.append((request.id, tenant, ids[count - 1], maker))
                self.record(
                    f"{self.identity}: {request.id} of {tenant} uses part {ids[count - 1]} that a "
                    f"request of {maker} made, salt {salt}"
                )
        return super().run(sock, request)


def case(deployment):
    """Return the violations of the rule."""
    record = deployment.record
    worker = deployment.add_worker(CachingWorker, "lm-1", "lm", 1)
    tenants = [
        {"name": name, "api_keys": [key], "isolated": name == "lawyers"}
        for name, key in harness.KEYS.items()
    ]
    if harness.IS_TROUBLED:
        deployment.configure(1)
    else:
        deployment.configure(1, tenants=tenants)
    deployment.start_gateways(1)

    def ask(request_id: str, key: str) -> None:
        client = harness.Client(deployment.gateways[0])
        client.send(
            request_id, f"/classify/{request_id}", b"a prompt", key=key, Model=harness.MODEL,
            Token_Counts="1460,80", Prompt_Prefix=f"{PARTS}{sum(request_id.encode()):x}:250",
        )  # fmt: skip
        answer = client.receive()
        record(f"client of {key} gets {answer and answer.status} for {request_id}")

    for number in range(REQUESTS):
        ask(f"lawyers-{number}", "lawyers")
    if harness.IS_TROUBLED:
        deployment.configure(2, tenants=tenants)
        record("version 2 of the configuration isolates the tenant lawyers")
    gevent.sleep(2 * harness.BOUNDS["config_ms"] / 1000)
    worker.uses.clear()
    for number in range(REQUESTS):
        ask(f"clerks-{number}", "clerks")
    return [
        f"WALL: {a} of {b} uses part {c}, made by a request of {d}" for a, b, c, d in worker.uses
    ]


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
