"""Command bronzemux-dev: run routers with stand-in engines and services in one process."""

from bronzemux import patching

patching.patch_all()

import pathlib
import signal
import sys

import gevent.event
from absl import flags

from bronzemux import clock, development, errors, logs, settings

FLAGS = flags.FLAGS
flags.DEFINE_enum("deployment", "centre", ["centre", "plinth"], "Deployment to run.")
flags.DEFINE_string("examples", "examples", "Directory of the example configurations.")
flags.DEFINE_integer("base_port", 8080, "First port of the routers; 0 uses any free ports.")
flags.DEFINE_integer("routers", 2, "Number of routers.", lower_bound=1, upper_bound=8)
flags.DEFINE_enum("log_level", "warning", list(logs.LEVELS), "Lowest level that is logged.")
flags.register_validator("base_port", settings.is_port, "give a TCP port or 0")

SUMMARY_TEMPLATE = """\
bronzemux {deployment}: {routers} routers, {engines} engines, {services} service workers

routers   {addresses}
platform  127.0.0.1:{platform_port} (table service, object store, VM list)
keys      {first}: {first_key}
          {second}: {second_key}

Ask which router to use, then send a request:
  curl -s {url}/v1/locate
  curl -sN {url}/v1/chat/completions -H 'Authorization: Bearer {first_key}' \\
    -d '{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"Hello"}}]}}'
  curl -s {url}/services/{service}/status/1 -H 'Authorization: Bearer {second_key}'
  bronzemux-ctl status --router={url}

Interrupt with Ctrl-C.
"""


def main() -> None:
    """Run a deployment until interrupted."""
    settings.parse_flags(sys.argv)
    logs.start(FLAGS.log_level)
    path = pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.toml"
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        settings.exit_with_error(
            f"--examples={FLAGS.examples!r}: {error}; give the directory of the examples"
        )
    deployment = development.DevelopmentDeployment(
        development.DevelopmentSettings(
            text=text, routers=FLAGS.routers, base_port=FLAGS.base_port
        ),
        clock.SystemClock(),
    )
    stop_event = gevent.event.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(signal_number, stop_event.set)
    try:
        deployment.start()
    except (OSError, errors.BronzemuxError) as error:
        settings.exit_with_error(
            f"the deployment did not start: {error}; try another --base_port", 1
        )
    print(describe(deployment), flush=True)
    stop_event.wait()
    deployment.stop()


def describe(deployment: development.DevelopmentDeployment) -> str:
    """Return the addresses, keys and example commands for sending requests."""
    document = deployment.document
    first, second = document.teams[0].name, document.teams[1].name
    return SUMMARY_TEMPLATE.format(
        deployment=document.deployment.name,
        routers=len(deployment.routers),
        engines=len(deployment.engines),
        services=len(deployment.services),
        addresses=" ".join(deployment.base_url(i) for i in range(len(deployment.routers))),
        platform_port=deployment.platform.port,
        first=first,
        first_key=deployment.key(first),
        second=second,
        second_key=deployment.key(second),
        url=deployment.base_url(),
        model=document.models[0].name,
        service=document.services[0].name,
    )


if __name__ == "__main__":
    main()
