"""Steps of config_check.feature."""

import json
import pathlib
import sys
import tempfile

import tomlkit
from behave import given, then, when
from gevent import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND_TIMEOUT_SECONDS = 20
PLATFORM_DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": name,
            "host": "a.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 5000,
            "target_latency_ms": 500,
            "service": "lm",
            "max_attempts": 1,
        }
        for name, kind in (("ask", "stream"), ("file", "unsafe"))
    ],
    "services": [{"name": "lm"}],
    "tenants": [{"name": "clerks", "api_keys": ["old-key"]}, {"name": "guests", "api_keys": ["k"]}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
}
# Path and value of each changed field.
CHANGES = {
    "nothing changes": {},
    "a team has no key": {
        "product": [(("teams", 0, "key_digests"), [])],
        "platform": [(("tenants", 0, "api_keys"), [])],
    },
    "a model has no endpoint": {"product": [(("endpoints",), [])]},
    "a deadline ends before the objective": {
        "product": [(("workloads", 0, "objective", "deadline_seconds"), 0.001)]
    },
    "a preset drains all data centres": {
        "product": [(("presets", 0, "drained_data_centres"), None)]
    },
    "a weight is negative": {"product": [(("teams", 0, "weight"), -1.0)]},
    "two routes have one prefix": {"platform": [(("routes", 1, "prefix"), "/ask/")]},
    "a route leads to an unknown service": {"platform": [(("routes", 0, "service"), "none")]},
    "an unsafe route allows attempts": {"platform": [(("routes", 1, "max_attempts"), 3)]},
    "an objective is later than the timeout": {
        "platform": [(("routes", 0, "target_latency_ms"), 9000)]
    },
    "a share has no weight": {
        "platform": [
            (
                ("routes", 0, "split"),
                [{"service": "lm", "weight": 0}, {"service": "lm", "weight": 1}],
            )
        ]
    },
    "two teams have one key": {"platform": [(("tenants", 1, "api_keys"), ["old-key"])]},
    "a service has no route": {"platform": [(("services",), [{"name": "lm"}, {"name": "x"}])]},
    "the idle timeout is 0": {"platform": [(("limits", "idle_timeout_ms"), 0)]},
    "a kind is unknown and a timeout is negative": {
        "platform": [(("routes", 0, "kind"), "fast"), (("routes", 1, "timeout_ms"), -1)]
    },
    "a team gets another key and a route another timeout": {
        "platform": [
            (("tenants", 0, "api_keys"), ["new-key"]),
            (("routes", 0, "timeout_ms"), 6000),
        ]
    },
}


@given("a sound document of the {form}")
def step_document(context, form):
    context.form = form
    if form == "product":
        text = (ROOT / "examples" / "centre.toml").read_text(encoding="utf-8")
        context.document = tomlkit.parse(text).unwrap()
    else:
        context.document = json.loads(json.dumps(PLATFORM_DOCUMENT))
    context.in_force = _encode(form, context.document)


def _encode(form: str, document) -> bytes:
    text = tomlkit.dumps(document) if form == "product" else json.dumps(document)
    return text.encode()


@when("the document is no JSON")
def step_broken(context):
    context.document = None


def _define(name: str):
    @when(name)
    def step_change(context):
        for path, value in CHANGES[name].get(context.form, ()):
            target = context.document
            for part in path[:-1]:
                target = target.setdefault(part, {}) if isinstance(target, dict) else target[part]
            if value is None:
                value = context.document["deployment"]["data_centres"]
            target[path[-1]] = value


for _name in CHANGES:
    _define(_name)


@then('the check ends with status {status:d} and prints "{text}"')
def step_checked(context, status, text):
    document = b"{" if context.document is None else _encode(context.form, context.document)
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / name for name in ("new", "old")]
        for path, data in zip(paths, (document, context.in_force), strict=True):
            path.write_bytes(data)
        command = [sys.executable, "-m", "bronzemux.cli_ctl", "config", "check", str(paths[0])]
        command += [f"--form={context.form}", f"--in_force={paths[1]}"]
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    context.output = output.decode()
    assert process.returncode == status, (process.returncode, context.output)
    assert text in context.output, context.output


@then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.output, context.output


@then('it does not print "{text}"')
def step_not_printed(context, text):
    assert text not in context.output, context.output
