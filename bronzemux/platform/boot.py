"""Settings file of a process.

The deploy file has the platform render the settings as JSON, so that no YAML parser is needed.
"""

import os
import pathlib

from bronzemux import errors
from bronzemux.gateway import settings
from bronzemux.platform import fields

PATH_VARIABLE = "BRONZEMUX_BOOT"


def path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises:
      errors.SettingError: When the environment does not name one.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise errors.SettingError(f"{PATH_VARIABLE} is not set", "name the settings file in it")
    return pathlib.Path(value)


def load(source: pathlib.Path) -> settings.GatewaySettings:
    """Return the settings of a file.

    Raises:
      errors.SettingError: When it cannot be read, with the field and the remedy.
    """
    try:
        document = fields.load(source.read_bytes())
        return decode(document)
    except (OSError, fields.DocumentError) as error:
        raise errors.SettingError(f"{source}: {error}", "correct the settings file") from error


def decode(document: dict) -> settings.GatewaySettings:
    """Return the settings of a document; fields that are not known here are left out.

    Raises:
      fields.DocumentError: When a field is missing or of another type.
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
        max_file_descriptors=fields.integer(limits, "max_fds", 1024),
        # Share of a core times the speed of that core.
        cpu_cores=fields.number(limits, "cpu_share", 1.0) * fields.number(limits, "cores", 1.0),
        bounds=_bounds(bounds),
    )


def _bounds(item: dict) -> settings.Bounds:
    least = settings.Bounds()

    def seconds(name: str, default: float) -> float:
        return fields.number(item, name, default * 1000) / 1000

    return settings.Bounds(
        stop_seconds=fields.number(item, "grace_s", least.stop_seconds),
        configuration_seconds=seconds("config_ms", least.configuration_seconds),
        drain_seconds=seconds("drain_ms", least.drain_seconds),
        lease_seconds=seconds("lease_ms", least.lease_seconds),
        weights_seconds=seconds("version_ms", least.weights_seconds),
        retry_ratio=fields.number(item, "budget_ratio", least.retry_ratio),
        retry_window_seconds=fields.number(item, "budget_window_s", least.retry_window_seconds),
        retry_slack=fields.number(item, "retry_slack", least.retry_slack),
        directory_ttl_seconds=fields.number(item, "ttl_max_s", least.directory_ttl_seconds),
    )
