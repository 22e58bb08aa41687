"""Reads the platform's settings file and converts it to SidecarSettings.

The file is YAML, or JSON if deploy/system.toml names a template for it.
"""

from pathlib import Path
from typing import Any

import msgspec

from ibisrack.decimals import parse_decimal
from ibisrack.errors import Fault, SettingsError
from ibisrack.platform.durations import parse_duration_s
from ibisrack.settings.checks import MAX_PORT
from ibisrack.settings.loader import parse_settings
from ibisrack.settings.sidecar import SidecarSettings

SETTINGS_PATH_VARIABLE = "IBISRACK_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/ibisrack/settings.yaml"
# The settings file has no field for the metrics port; deploy/system.toml sets this variable.
METRICS_PORT_VARIABLE = "IBISRACK_METRICS_PORT"
# Set by deploy/system.toml: whoever fills in the template of the settings may know no heartbeat.
HEARTBEAT_VARIABLE = "IBISRACK_HEARTBEAT"


def load_platform_settings(
    path: str, metrics_port: str = "", heartbeat: str = ""
) -> SidecarSettings:
    """Reads the settings file; unknown fields are ignored.

    Args:
      path: Path of the file.
      metrics_port: Port for metrics on the host's IP address; empty disables metrics.
      heartbeat: Duration between two reports of an instance, for a file without one; may be empty.

    Raises:
      SettingsError: The file can't be read or is invalid; the error lists all faults.
    """
    try:
        data = _decode(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((Fault(path, 0, error.strerror or str(error)),)) from error
    except Exception as error:  # Such as a ValueError for a date, or deep nesting.
        reason = f"not valid YAML: {type(error).__name__} {error}"
        raise SettingsError((Fault(path, 0, reason),)) from error
    reader = _SettingsReader(data, path)
    values = {
        "node_id": reader.get("self.node"),
        "service": reader.get("self.service"),
        "zone": reader.get("self.zone"),
        "instance": reader.address("self.app_addr"),
        # Callers connect to the outbound address; the inbound address serves links between nodes.
        "calls": reader.address("network.listen.outbound"),
        "links": reader.address("network.listen.inbound"),
        "ready": reader.address("network.listen.ready"),
        "registry": reader.address("platform.platform.address"),
        "metrics": reader.local_address(metrics_port),
        "link_mbps": reader.limit("self.limits.link_mbps"),
        "memory_mb": reader.limit("self.limits.memory_mb"),
        "max_descriptors": reader.limit("self.limits.max_fds"),
        "stop_s": reader.duration_s("terms.bounds.grace"),
        "retry_ratio": reader.get("terms.bounds.retry_budget_ratio"),
        "retry_slack": reader.get("terms.bounds.budget_slack"),
        "retry_window_s": reader.duration_s("terms.bounds.budget_window"),
        "cold_rate_factor": reader.get("terms.bounds.cold_over"),
        "cold_rate_slack": reader.get("terms.bounds.cold_slack"),
        "evacuation_s": reader.duration_s("terms.bounds.evac"),
        "heartbeat_s": reader.duration_s("platform.heartbeat", HEARTBEAT_VARIABLE, heartbeat),
        "configuration_s": reader.duration_s("terms.bounds.config_apply"),
        "drain_s": reader.duration_s("terms.bounds.drain"),
    }
    faults = reader.faults
    try:
        settings = parse_settings(
            {name: value for name, value in values.items() if value is not None},
            SidecarSettings,
            path,
        )
    except SettingsError as error:
        raise SettingsError((*faults, *error.faults)) from error
    if faults:
        raise SettingsError(tuple(faults))
    return settings


def _decode(text: str) -> Any:
    """Decodes JSON or YAML; raises whatever the YAML parser does."""
    try:
        return msgspec.json.decode(text)
    except Exception:  # Some YAML begins like JSON, and deep nesting is no DecodeError.
        # Imported only here: it takes a process longer than all other work on its settings.
        import yaml

        return yaml.safe_load(text)


class _SettingsReader:
    """Reads values by dotted path and collects faults."""

    def __init__(self, data: Any, file: str) -> None:
        self._data = data
        self._file = file
        self.faults: list[Fault] = []

    def get(self, path: str) -> Any:
        value = self._data
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def address(self, path: str) -> dict[str, Any] | None:
        value = self.get(path)
        if value is None:
            return None
        host, _, port_text = str(value).rpartition(":")
        port = parse_decimal(port_text, MAX_PORT)
        if port is None:
            self.faults.append(Fault(self._file, 0, "expected IP:PORT", path))
            return None
        return {"host": host, "port": port}

    def local_address(self, port: str) -> dict[str, Any] | None:
        """Returns the host's address with a port that is not in the file, None if that is empty."""
        if not port:
            return None
        number = parse_decimal(port, MAX_PORT)
        if number is None:
            self.faults.append(Fault(METRICS_PORT_VARIABLE, 0, "expected a port"))
            return None
        return {"host": str(self.get("self.ip")), "port": number}

    def limit(self, path: str) -> int | float | None:
        """Returns a limit, None unless it is a positive number."""
        value = self.get(path)
        return value if type(value) in (int, float) and value > 0 else None

    def duration_s(self, path: str, variable: str = "", text: str = "") -> float | None:
        """Returns a duration, None if it is not given.

        Args:
          path: Path of the field.
          variable: Environment variable that counts if the file lacks the field.
          text: Content of the variable.
        """
        value, source = self.get(path), self._file
        if value is None:
            value, source = text or None, variable
        if value is None:
            return None
        try:
            return parse_duration_s(value)
        except ValueError as error:
            self.faults.append(Fault(source, 0, str(error), path))
            return None
