"""Reloads the configuration of a running server on SIGHUP: applies it completely or not at all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.assembly import Assembly
from sabledyke.config import Config, ConfigError
from sabledyke.net.listener import Listener
from sabledyke.policy.settings import Settings
from sabledyke.settings import SettingsError, merge

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

ReadConfig = Callable[[Config], Config]
ReadOperator = Callable[[Settings], "OperatorConfig | None"]


class Reloader:
    """Reads the configuration again and applies it; accepted requests and learnt state are kept.

    Attributes:
        read_config: Reads the configuration; takes the one in force.
    """

    def __init__(
        self,
        assembly: Assembly,
        listeners: list[Listener],
        read_config: ReadConfig,
        read_operator: ReadOperator | None,
    ) -> None:
        self._assembly = assembly
        self._listeners = listeners  # shared with the life cycle; the HTTP listener is first
        self.read_config = read_config
        self._read_operator = read_operator

    def reload(self) -> str:
        """Read the configuration again, and apply it completely or not at all.

        Guards against SIGHUP ending the process, which would lose all accepted requests, and against applying
        only part of a configuration.

        Returns:
            The reason if the new configuration is rejected; an empty string if it is in force.
        """
        metrics = self._assembly.core.metrics
        try:
            config = self._read_merged_config()
            operator = self._read_checked_operator(config)
            self._move_listener(config)
        except (ConfigError, SettingsError, OSError) as error:
            metrics.count_failed_reload()
            log.emit("reload", f"the new configuration is not used: {error}")
            return str(error)
        metrics.count_successful_reload()
        self._apply(config, operator)
        where = f"discovery at {config.discovery[0]}:{config.discovery[1]}"
        log.emit("reload", f"the new configuration is in force; {where}, {config.sockets} descriptors")
        return ""

    def _read_merged_config(self) -> Config:
        current = self._assembly.config
        config = self.read_config(current)
        _require_same_names(current.settings, config.settings)
        return replace(config, settings=merge(current.settings, config.settings))

    def _read_checked_operator(self, config: Config) -> OperatorConfig | None:
        if self._read_operator is None:
            return None
        operator = self._read_operator(config.settings)
        if operator is not None:
            for extension in self._assembly.extensions:
                extension.check_operator_config(operator)
        return operator

    def _move_listener(self, config: Config) -> None:
        """Listen for HTTP clients at the new address, if it differs and listeners are open."""
        if config.listen == self._assembly.config.listen or not self._listeners:
            return
        frontend = self._assembly.frontends[0]
        listener = Listener(config.listen, frontend.accept, frontend.can_accept)
        self._listeners[0].close()
        self._listeners[0] = listener

    def _apply(self, config: Config, operator: OperatorConfig | None) -> None:
        assembly = self._assembly
        settings = config.settings
        assembly.config = config
        assembly.core.apply_settings(settings)
        assembly.reader.apply_settings(settings)
        assembly.http_dialer.settings = settings
        assembly.pool.settings = settings
        for extension in assembly.extensions:
            extension.apply_config(config)
            if operator is not None:
                extension.apply_operator_config(operator)
        assembly.apply_limits()
        assembly.watch.apply_settings(config.discovery, settings)


def _require_same_names(old: Settings, new: Settings) -> None:
    """Raise a ConfigError if names differ that identify open requests and learnt state."""
    new_names = _fixed_names(new)
    for section, names in _fixed_names(old).items():
        if names != new_names[section]:
            raise ConfigError(f"the names of its {section} differ, which requires a restart")


def _fixed_names(settings: Settings) -> dict[str, list[str]]:
    """Return the names that must not change while the process runs, by their section of the file."""
    return {
        "plans": [plan.name for plan in settings.plans],
        "zones": list(settings.zones),
        "kinds": list(settings.node_kinds),
    }
