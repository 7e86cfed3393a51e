"""Command bronzemux-gateway: runs one gateway on the users' platform."""

import signal

# A SIGHUP must not terminate the process while its modules are imported. The settings are read only
# after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bronzemux import patching

patching.patch_all()

import dataclasses
import sys

import gevent.event
from absl import flags

from bronzemux import clock, logs, settings
from bronzemux.gateway import gateway
from bronzemux.platform import assembly, boot

FLAGS = flags.FLAGS
flags.DEFINE_enum("log_level", "info", list(logs.LEVELS), "Lowest level to log.")

flags.DEFINE_string(
    "advertised_peer_address",
    "",
    "Peer address that is announced to other gateways; defaults to that of the settings file.",
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
    stop_requested = gevent.event.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(signal_number, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, reload_settings, config)
    process = gateway.Gateway(config, assembly.build_platform(config), clock.BootClock())
    try:
        process.run_until(stop_requested)
    except OSError as error:
        settings.exit_with_error(f"{error}; choose other addresses in the settings file", 1)
    stream.drain()


def reload_settings(config) -> None:
    """Read the settings file again and log whether it differs from the settings in use."""
    try:
        reloaded = dataclasses.replace(
            boot.load(boot.path()), advertised_peer_address=FLAGS.advertised_peer_address
        )
    except settings.errors.SettingError as error:
        logs.event("settings_rejected", "error", cause=str(error))
        return
    logs.event("settings_reloaded", is_changed=reloaded != config)


if __name__ == "__main__":
    main()
