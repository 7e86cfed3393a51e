"""Command bronzemux-gateway: one gateway on the users' platform."""

import signal

# A reload that comes while the program is still being loaded must not end it; the settings are read
# after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import dataclasses
import sys

import gevent.event
from absl import flags

from bronzemux import clock, logs, settings
from bronzemux.gateway import gateway
from bronzemux.platform import assembly, boot

FLAGS = flags.FLAGS
flags.DEFINE_enum("log_level", "info", list(logs.LEVELS), "Least level that is logged.")

flags.DEFINE_string(
    "advertised_peer_address",
    "",
    "Where other gateways are told to connect; the address of the settings file when empty.",
)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    settings.parse_flags(sys.argv)
    stream = logs.BoundedStream(sys.stdout)
    logs.start(FLAGS.log_level, stream)
    try:
        config = dataclasses.replace(
            boot.load(boot.path()), advertised_peer_address=FLAGS.advertised_peer_address
        )
    except settings.errors.SettingError as error:
        settings.exit_with_error(str(error))
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, on_reload, config)
    served = gateway.Gateway(config, assembly.platform(config), clock.BootClock())
    try:
        served.run_until(stopped)
    except OSError as error:
        settings.exit_with_error(f"{error}; choose other addresses in the settings file", 1)
    stream.drain()


def on_reload(config) -> None:
    """Read the settings again; what can change without a restart is logged."""
    try:
        found = dataclasses.replace(
            boot.load(boot.path()), advertised_peer_address=FLAGS.advertised_peer_address
        )
    except settings.errors.SettingError as error:
        logs.event("settings_rejected", "error", cause=str(error))
        return
    logs.event("settings_reloaded", is_changed=found != config)


if __name__ == "__main__":
    main()
