"""Command bronzemux-router: run one router."""

from bronzemux import patching

patching.patch_all()

import signal
import sys

import gevent.event
from absl import flags

from bronzemux import clock, logs, router, settings

FLAGS = flags.FLAGS
flags.DEFINE_string("name", "", "Name of this VM; required.")
flags.DEFINE_string("data_centre", "", "Data centre of this VM; required.")
flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 8080, "TCP port for callers.")
flags.DEFINE_integer("peer_port", 8081, "TCP port for other routers.")
flags.DEFINE_string(
    "advertised_peer_address",
    "",
    "IP:PORT advertised to other routers; empty to advertise the address listened on.",
)
flags.DEFINE_string("platform_host", "127.0.0.1", "IP address of the platform's services.")
flags.DEFINE_integer("platform_port", 7000, "TCP port of the platform's services.")
flags.DEFINE_list(
    "mesh_keys", [], "Keys shared by all routers; the first one signs, all are accepted."
)
flags.DEFINE_list("peers", [], "IP:PEER_PORT of routers to contact while the platform is down.")
flags.DEFINE_integer(
    "max_body_bytes", 8 * 1024 * 1024, "Maximum size of a request body.", lower_bound=1
)
flags.DEFINE_float("body_seconds", 15.0, "Timeout for receiving a request body.", lower_bound=0.1)
flags.DEFINE_float(
    "drain_seconds", 60.0, "Time for requests to finish at shutdown.", lower_bound=0.0
)
flags.DEFINE_float(
    "connect_seconds", 0.5, "Timeout for connecting to an endpoint.", lower_bound=0.01
)
flags.DEFINE_float(
    "progress_seconds", 5.0, "Maximum time without data in a response.", lower_bound=0.1
)
flags.DEFINE_float(
    "late_answer_seconds",
    30.0,
    "Additional wait for late responses to requests that must not be retried.",
    lower_bound=0.0,
)
flags.DEFINE_float(
    "lease_seconds", 9.0, "Duration of leases on orders to engines.", lower_bound=3.0
)
flags.DEFINE_enum("log_level", "info", list(logs.LEVELS), "Lowest level that is logged.")
for port_flag in ("port", "peer_port", "platform_port"):
    flags.register_validator(port_flag, settings.is_port, "give a TCP port or 0")
flags.register_validator(
    "advertised_peer_address", settings.is_address_or_empty, "give IP:PORT or leave it empty"
)
for text_flag in ("name", "data_centre"):
    flags.register_validator(text_flag, bool, f"set --{text_flag} or its environment variable")
flags.register_validator(
    "mesh_keys", lambda keys: bool(keys) and all(keys), "give at least one non-empty shared key"
)

EXIT_UNFINISHED_REQUESTS = 1


def main() -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second signal ends the process at once."""
    settings.parse_flags(sys.argv)
    logs.start(FLAGS.log_level)
    stop_event = gevent.event.Event()
    instance = router.Router(router_settings(), clock.SystemClock())
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(signal_number, on_signal, stop_event, instance)
    try:
        unfinished = instance.run_until(stop_event)
    except OSError as error:
        settings.exit_with_error(
            f"--host={FLAGS.host} --port={FLAGS.port}: {error}; choose another port", 1
        )
    raise SystemExit(EXIT_UNFINISHED_REQUESTS if unfinished else 0)


def router_settings() -> settings.RouterSettings:
    """Return the router settings from the flags."""
    return settings.RouterSettings(
        name=FLAGS.name,
        data_centre=FLAGS.data_centre,
        host=FLAGS.host,
        port=FLAGS.port,
        peer_port=FLAGS.peer_port,
        advertised_peer_address=FLAGS.advertised_peer_address,
        platform_host=FLAGS.platform_host,
        platform_port=FLAGS.platform_port,
        mesh_keys=tuple(FLAGS.mesh_keys),
        peers=tuple(FLAGS.peers),
        max_body_bytes=FLAGS.max_body_bytes,
        body_seconds=FLAGS.body_seconds,
        drain_seconds=FLAGS.drain_seconds,
        connect_seconds=FLAGS.connect_seconds,
        progress_seconds=FLAGS.progress_seconds,
        late_answer_seconds=FLAGS.late_answer_seconds,
        lease_seconds=FLAGS.lease_seconds,
    )


def on_signal(stop_event: gevent.event.Event, instance: router.Router) -> None:
    """Start the graceful shutdown; at the second signal log the unfinished requests and exit."""
    if stop_event.is_set():
        logs.event("router_cut", "warning", left_requests=instance.status.in_flight)
        instance.crash()
        raise SystemExit(EXIT_UNFINISHED_REQUESTS)
    stop_event.set()


if __name__ == "__main__":
    main()
