"""Reads the platform's settings file into the product's settings."""

from pathlib import Path
from typing import Any

import yaml

from ibisrack.errors import Fault, SettingsError
from ibisrack.platform.durations import parse_duration_s
from ibisrack.settings.loader import parse_settings
from ibisrack.settings.sidecar import SidecarSettings

PATH_VARIABLE = "IBISRACK_NODE_FILE"
DEFAULT_PATH = "/etc/ibisrack/settings.yaml"
# The file names no port for metrics; the platform is told one in deploy/system.toml.
METRICS_VARIABLE = "IBISRACK_METRICS_PORT"


def load_platform_settings(path: str, metrics_port: str = "") -> SidecarSettings:
    """Reads the settings file; fields that are not known are ignored.

    Args:
      path: The file.
      metrics_port: Port for metrics on the address of the machine, empty to serve none.

    Raises:
      SettingsError: The file can't be read or has faults; all of them are in the error.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((Fault(path, 0, error.strerror or str(error)),)) from error
    except (UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError((Fault(path, 0, f"not YAML: {error}"),)) from error
    reading = _Reading(data, path)
    wanted = {
        "node_id": reading.at("self.node"),
        "service": reading.at("self.service"),
        "zone": reading.at("self.zone"),
        "instance": reading.address("self.app_addr"),
        # Callers use 'outbound'; 'inbound' is free for what nodes say to each other.
        "calls": reading.address("network.listen.outbound"),
        "links": reading.address("network.listen.inbound"),
        "ready": reading.address("network.listen.ready"),
        "registry": reading.address("platform.platform.address"),
        "metrics": reading.own_port(metrics_port),
        "stop_s": reading.duration_s("terms.bounds.grace"),
        "retry_ratio": reading.at("terms.bounds.retry_budget_ratio"),
        "retry_slack": reading.at("terms.bounds.budget_slack"),
        "retry_window_s": reading.duration_s("terms.bounds.budget_window"),
    }
    faults = reading.faults
    try:
        settings = parse_settings(
            {name: value for name, value in wanted.items() if value is not None},
            SidecarSettings,
            path,
        )
    except SettingsError as error:
        raise SettingsError((*faults, *error.faults)) from error
    if faults:
        raise SettingsError(tuple(faults))
    return settings


class _Reading:
    """Reads values by their path and gathers faults."""

    def __init__(self, data: Any, file: str) -> None:
        self._data = data
        self._file = file
        self.faults: list[Fault] = []

    def at(self, path: str) -> Any:
        value = self._data
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def address(self, path: str) -> dict[str, Any] | None:
        value = self.at(path)
        if value is None:
            return None
        host, _, port = str(value).rpartition(":")
        if not port.isdigit():
            self.faults.append(Fault(self._file, 0, "expected IP:PORT", path))
            return None
        return {"host": host, "port": int(port)}

    def own_port(self, port: str) -> dict[str, Any] | None:
        """Returns an address of this machine with a port that is not in the file."""
        if not port:
            return None
        if not (port.isascii() and port.isdigit()):
            self.faults.append(Fault(METRICS_VARIABLE, 0, "expected a port"))
            return None
        return {"host": str(self.at("self.ip")), "port": int(port)}

    def duration_s(self, path: str) -> float | None:
        value = self.at(path)
        if value is None:
            return None
        try:
            return parse_duration_s(value)
        except ValueError as error:
            self.faults.append(Fault(self._file, 0, str(error), path))
            return None
