"""Loader of the settings file of a process.

The deployment descriptor makes the platform render the settings as JSON, so that no YAML parser is
needed.
"""

import os
import pathlib

from bronzemux import errors
from bronzemux.gateway import settings
from bronzemux.platform import fields

PATH_VARIABLE = "BRONZEMUX_BOOT"
# Of `max_fds`, sockets and pipes share what is left.
FILE_DESCRIPTORS_FOR_FILES = 200
MIN_SOCKETS = 64


def path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises:
      errors.SettingError: When the environment variable is not set.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise errors.SettingError(f"{PATH_VARIABLE} is not set", "set it to the settings file")
    return pathlib.Path(value)


def load(source: pathlib.Path) -> settings.GatewaySettings:
    """Load the settings from a file.

    Args:
      source: Path of the file.

    Raises:
      errors.SettingError: When the file cannot be read, or when it is invalid; the message then
        names the field.
    """
    try:
        document = fields.load(source.read_bytes())
        return decode(document)
    except (OSError, fields.DocumentError) as error:
        raise errors.SettingError(f"{source}: {error}", "correct the settings file") from error


def decode(document: dict) -> settings.GatewaySettings:
    """Decode the settings; unknown fields are ignored.

    Raises:
      fields.DocumentError: When a field is missing or has the wrong type.
    """
    listen = fields.table(document.get("listen"), "listen")
    bounds = fields.table(document.get("bounds") or {}, "bounds")
    limits = fields.table(document.get("limits") or {}, "limits")
    store = fields.table(document.get("platform"), "platform")
    front = fields.address(listen, "front")
    port_range = fields.items(document, "port_range", [])
    return settings.GatewaySettings(
        name=fields.text(document, "node_name"),
        data_centre=fields.text(document, "zone"),
        data_centres=tuple(sorted(fields.table(document.get("zones") or {}, "zones"))),
        ingress_address=front,
        ready_address=fields.address(listen, "ready"),
        directory_address=fields.address(listen, "directory"),
        peer_address=fields.address(listen, "control"),
        metrics_port=port_range[0] if port_range and isinstance(port_range[0], int) else 0,
        seeds=tuple(s for s in fields.items(document, "seeds", []) if isinstance(s, str)),
        store_address=fields.address(store, "address"),
        memory_bytes=int(fields.number(limits, "memory_mb", 0.0) * 1_000_000),
        max_sockets=max(
            MIN_SOCKETS, fields.integer(limits, "max_fds", 1024) - FILE_DESCRIPTORS_FOR_FILES
        ),
        # `cpu_share` is a fraction of a core, `cores` the speed of that core.
        cpu_cores=fields.number(limits, "cpu_share", 1.0) * fields.number(limits, "cores", 1.0),
        bounds=_bounds(bounds),
    )


def _bounds(item: dict) -> settings.Bounds:
    defaults = settings.Bounds()

    def seconds(name: str, default: float) -> float:
        return fields.number(item, name, default * 1000) / 1000

    return settings.Bounds(
        stop_seconds=fields.number(item, "grace_s", defaults.stop_seconds),
        configuration_seconds=seconds("config_ms", defaults.configuration_seconds),
        drain_seconds=seconds("drain_ms", defaults.drain_seconds),
        lease_seconds=seconds("lease_ms", defaults.lease_seconds),
        weights_seconds=seconds("version_ms", defaults.weights_seconds),
        retry_ratio=fields.number(item, "budget_ratio", defaults.retry_ratio),
        retry_window_seconds=fields.number(item, "budget_window_s", defaults.retry_window_seconds),
        retry_slack=fields.number(item, "retry_slack", defaults.retry_slack),
        directory_ttl_seconds=fields.number(item, "ttl_max_s", defaults.directory_ttl_seconds),
        usage_window_seconds=fields.number(item, "quota_window_s", defaults.usage_window_seconds),
        usage_overage=fields.number(item, "quota_overage", defaults.usage_overage),
        usage_slack=fields.number(item, "quota_slack", defaults.usage_slack),
    )
