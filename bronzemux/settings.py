"""Router settings, and the parsing of flags and environment variables for all programs."""

import ipaddress
import os
import sys

from absl import flags

from bronzemux import decimal_digits, errors, records

ENVIRONMENT_PREFIX = "BRONZEMUX_"
EXIT_USAGE = 2
DEFAULT_MESH_KEY = "development-only"


@records.record
class RouterSettings:
    """Settings of one router.

    Attributes:
      name: Name of the VM.
      data_centre: Data centre of the VM.
      host: IP address to listen on.
      port: TCP port for callers.
      peer_port: TCP port for other routers.
      advertised_peer_address: IP address and port advertised to other routers; empty to
        advertise `host` and `peer_port`.
      platform_host: IP address of the platform's services.
      platform_port: TCP port of the platform's services.
      mesh_keys: Keys shared by all routers; messages are signed with the first key and
        accepted with any of them.
      peers: IP addresses and peer ports of the routers to contact while the platform is down.
      max_body_bytes: Maximum size of a request body.
      body_seconds: Timeout for receiving a request body.
      drain_seconds: Time that running requests have to finish after a stop signal.
      connect_seconds: Timeout for connecting to an endpoint.
      progress_seconds: Maximum time without data in the response of an endpoint.
      late_answer_seconds: Additional wait, after the progress timeout, for the response of a
        plain service to a request that must not be retried.
      lease_seconds: Duration of the leases on orders to engines.
    """

    name: str
    data_centre: str
    host: str = "127.0.0.1"
    port: int = 0
    peer_port: int = 0
    advertised_peer_address: str = ""
    platform_host: str = "127.0.0.1"
    platform_port: int = 7000
    mesh_keys: tuple[str, ...] = (DEFAULT_MESH_KEY,)
    peers: tuple[str, ...] = ()
    max_body_bytes: int = 8 * 1024 * 1024
    body_seconds: float = 15.0
    drain_seconds: float = 60.0
    connect_seconds: float = 0.5
    progress_seconds: float = 5.0
    late_answer_seconds: float = 30.0
    lease_seconds: float = 9.0


def environment_name(flag: str) -> str:
    """Return the name of the environment variable for a flag."""
    return ENVIRONMENT_PREFIX + flag.upper()


def load_environment(values: flags.FlagValues) -> None:
    """Set flags that are absent from the command line from their environment variables.

    Args:
      values: Parsed flags.

    Raises:
      errors.SettingError: When the value of a variable is invalid.
    """
    # By identity, because a flag with a short name is listed under both of its names.
    for flag in {id(values[name]): values[name] for name in values}.values():
        name = environment_name(flag.name)
        if name not in os.environ or flag.present:
            continue
        try:
            flag.parse(os.environ[name])
            flag.using_default_value = False
        except flags.IllegalFlagValueError as error:
            raise errors.SettingError(
                f"{name}={os.environ[name]!r} is invalid: {error}",
                f"correct it or give --{flag.name}",
            ) from error


def parse_flags(arguments: list[str]) -> list[str]:
    """Parse flags and environment variables; print an error and exit with 2 when one is invalid.

    Args:
      arguments: Command line including the program name.

    Returns:
      Positional arguments, without the program name.
    """
    try:
        positional = flags.FLAGS(arguments)[1:]
        load_environment(flags.FLAGS)
        flags.FLAGS.validate_all_flags()
        return positional
    except (flags.Error, errors.SettingError) as error:
        exit_with_error(f"{error}; see --help")


def exit_with_error(message: str, status: int = EXIT_USAGE):
    """Print an error and exit.

    Args:
      message: The error and its remedy.
      status: Exit status.
    """
    print(f"error: {message}", file=sys.stderr)
    raise SystemExit(status)


def is_address_or_empty(value: str) -> bool:
    """Return whether a text is empty or an IP address with a TCP port."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return not value
    return decimal_digits.parse(port, decimal_digits.MAX_PORT) is not None


def is_port(value: int) -> bool:
    """Return whether a number is a valid TCP port; 0 stands for any free port."""
    return 0 <= value < 65536
