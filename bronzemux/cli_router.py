"""Command bronzemux-router: one router."""

from gevent import monkey

monkey.patch_all()

import signal
import sys

import gevent.event
from absl import flags

from bronzemux import clock, logs, router, settings

FLAGS = flags.FLAGS
flags.DEFINE_string("name", "", "Name of this VM.")
flags.DEFINE_string("data_centre", "", "Data centre of this VM.")
flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 8080, "TCP port for callers.")
flags.DEFINE_integer("peer_port", 8081, "TCP port for other routers.")
flags.DEFINE_string(
    "advertised_peer_address",
    "",
    "IP-number:port told to other routers, if not the one listened on.",
)
flags.DEFINE_string("platform_host", "127.0.0.1", "IP number of the platform's services.")
flags.DEFINE_integer("platform_port", 7000, "TCP port of the platform's services.")
flags.DEFINE_list("mesh_keys", [], "Keys shared by all routers; the first one signs.")
flags.DEFINE_list("peers", [], "IP-number:peer-port of routers to ask when the platform is down.")
flags.DEFINE_integer("max_body_bytes", 8 * 1024 * 1024, "Longest accepted body.", lower_bound=1)
flags.DEFINE_float("body_seconds", 15.0, "Time for a body to arrive.", lower_bound=0.1)
flags.DEFINE_float("drain_seconds", 60.0, "Time for requests to end at a stop.", lower_bound=0.0)
flags.DEFINE_float("connect_seconds", 0.5, "Time to connect to an endpoint.", lower_bound=0.01)
flags.DEFINE_float("progress_seconds", 5.0, "Longest pause in an answer.", lower_bound=0.1)
flags.DEFINE_float(
    "late_answer_seconds", 30.0, "Wait for late answers to filings and orders.", lower_bound=0.0
)
flags.DEFINE_float("lease_seconds", 9.0, "Length of leases on orders.", lower_bound=3.0)
flags.DEFINE_enum("log_level", "info", list(logs.LEVELS), "Least level that is logged.")
for port_flag in ("port", "peer_port", "platform_port"):
    flags.register_validator(port_flag, settings.is_port, "give a TCP port or 0")
flags.register_validator(
    "advertised_peer_address", settings.is_address_or_empty, "give IP-number:port or leave it empty"
)
for text_flag in ("name", "data_centre"):
    flags.register_validator(text_flag, bool, f"set --{text_flag} or its environment variable")
flags.register_validator(
    "mesh_keys", lambda keys: bool(keys) and all(keys), "give at least one non-empty shared key"
)

EXIT_LEFT_REQUESTS = 1


def main() -> None:
    """Serve until SIGTERM or SIGINT; a second signal ends at once."""
    settings.parse_flags(sys.argv)
    logs.start(FLAGS.log_level)
    stopped = gevent.event.Event()
    served = router.Router(router_settings(), clock.SystemClock())
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, on_signal, stopped, served)
    try:
        left = served.run_until(stopped)
    except OSError as error:
        settings.exit_with_error(
            f"--host={FLAGS.host} --port={FLAGS.port}: {error}; choose another port", 1
        )
    raise SystemExit(EXIT_LEFT_REQUESTS if left else 0)


def router_settings() -> settings.RouterSettings:
    """Return the settings that the flags give."""
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


def on_signal(stopped: gevent.event.Event, served: router.Router) -> None:
    """Ask for a graceful stop; at the second signal name what is left and end."""
    if stopped.is_set():
        logs.event("router_cut", "warning", left_requests=served.status.in_flight)
        served.crash()
        raise SystemExit(EXIT_LEFT_REQUESTS)
    stopped.set()


if __name__ == "__main__":
    main()
