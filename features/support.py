"""Helpers that several step files share."""

import dataclasses
import json
import pathlib

import openai

from bronzemux import clock, config, development, http_client, table

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
LONG_TEXT = "The statute says that every agency replies within ten days. " * 700


def example(name: str) -> str:
    """Return the text of an example configuration."""
    return (EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")


def start_development(context, name: str, **options) -> development.DevelopmentDeployment:
    """Start a deployment that stops at the end of the scenario."""
    settings = development.DevelopmentSettings(
        text=options.pop("text", None) or example(name),
        token_seconds=options.pop("token_seconds", 0.001),
        speed=options.pop("speed", 20.0),
        progress_seconds=options.pop("progress_seconds", 0.5),
        late_answer_seconds=options.pop("late_answer_seconds", 0.0),
        **options,
    )
    deployment = development.DevelopmentDeployment(settings, clock.SystemClock())
    context.cleanups.append(deployment.stop)
    deployment.start()
    context.deployment = deployment
    return deployment


def openai_client(deployment, team: str, position: int = 0) -> openai.OpenAI:
    """Return a client of the openai package with the API key of a team."""
    return openai.OpenAI(
        base_url=deployment.base_url(position) + "/v1", api_key=deployment.key(team), max_retries=0
    )


def stream_text(client: openai.OpenAI, model: str, system: str, question: str, count: int = 16):
    """Return the text and the usage of a streamed chat completion."""
    messages = [{"role": "system", "content": system}, {"role": "user", "content": question}]
    chunks = client.chat.completions.create(
        model=model,
        messages=messages,
        max_tokens=count,
        stream=True,
        stream_options={"include_usage": True},
    )
    text, usage = "", None
    for chunk in chunks:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            text += choice.delta.content or ""
    return text, usage


@dataclasses.dataclass(frozen=True)
class Reply:
    """Response to one HTTP request."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body)


def send(address: str, method: str, path: str, key: str = "", body: bytes = b"", headers=None):
    """Send one HTTP request to a server and return its response.

    Args:
      address: IP address and port, as `HOST:PORT`.
      method: HTTP method.
      path: Path with query.
      key: API key, sent as a bearer token, or empty.
      body: Body of the request.
      headers: Further headers by name, or None.
    """
    host, _, port = address.rpartition(":")
    timeouts = http_client.Timeouts(connect=2.0, progress=20.0)
    connection = http_client.Connection(host, int(port), timeouts)
    all_headers = dict(headers or {})
    if key:
        all_headers["Authorization"] = f"Bearer {key}"
    try:
        connection.send(method, path, all_headers, body)
        response = connection.receive(method)
        return Reply(response.status_code, dict(response.items()), connection.read_all())
    finally:
        connection.close()


def router_address(deployment, position: int = 0) -> str:
    """Return the address of a router as `HOST:PORT`."""
    return f"127.0.0.1:{deployment.routers[position].port}"


def replace_preset(text: str, preset: str) -> str:
    """Return a configuration document with another preset in force."""
    return text.replace('preset = "ordinary"', f'preset = "{preset}"', 1)


def first_team(document: config.Config) -> str:
    """Return the name of the first team."""
    return document.teams[0].name


def limits(requests_per_second: float) -> config.Limits:
    """Return limits that restrict only the rate of requests."""
    return config.Limits(requests_per_second, 1e9, 10_000)


def http_table(deployment) -> table.HttpTable:
    """Return a client of a deployment's table service."""
    return table.HttpTable(
        http_client.PlatformServiceSettings("127.0.0.1", deployment.platform.port)
    )
