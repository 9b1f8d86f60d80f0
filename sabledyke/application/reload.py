"""Takes on a new configuration while the server runs, as SIGHUP asks for: all of it, or none."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.assembly import Assembly
from sabledyke.config import Config, ConfigError
from sabledyke.net.listener import Listener
from sabledyke.policy import interface as api
from sabledyke.settings import SettingsError, merge

if TYPE_CHECKING:
    from sabledyke.operator_config import Operator

ReadConfig = Callable[[Config], Config]
ReadOperator = Callable[[api.Settings], "Operator | None"]
FIXED_NAMES = ("plans", "zones", "kinds")


class Reloader:
    """Reads the configuration again and puts it in force; accepted requests and learnt state stay."""

    def __init__(
        self,
        assembly: Assembly,
        listeners: list[Listener],
        read_config: ReadConfig,
        read_operator: ReadOperator | None,
    ) -> None:
        self._assembly = assembly
        self._listeners = listeners  # shared with the life cycle; the first one is HTTP's
        self._read_config = read_config
        self._read_operator = read_operator

    def reload(self) -> str:
        """Take on a new configuration, or none of it.

        Guards against ending on SIGHUP with all that was accepted, and against half a configuration.

        Returns:
            Why the new configuration is not used; an empty string where it is in force.
        """
        metrics = self._assembly.core.figures
        try:
            config = self._read_merged_config()
            operator = self._read_checked_operator(config)
            self._move_listener(config)
        except (ConfigError, SettingsError, OSError) as error:
            metrics.reloaded(False)
            log.say("reload", f"the new configuration is not used: {error}")
            return str(error)
        metrics.reloaded(True)
        self._apply(config, operator)
        where = f"discovery at {config.discovery[0]}:{config.discovery[1]}"
        log.say("reload", f"the new configuration is in force; {where}, {config.sockets} descriptors")
        return ""

    def _read_merged_config(self) -> Config:
        current = self._assembly.config
        config = self._read_config(current)
        _require_same_names(current.settings, config.settings)
        return replace(config, settings=merge(current.settings, config.settings))

    def _read_checked_operator(self, config: Config) -> Operator | None:
        if self._read_operator is None:
            return None
        operator = self._read_operator(config.settings)
        if operator is not None:
            for part in self._assembly.parts:
                part.check(operator)
        return operator

    def _move_listener(self, config: Config) -> None:
        """Listen for HTTP clients at the new address, where it differs and listeners are open."""
        if config.listen == self._assembly.config.listen or not self._listeners:
            return
        listener = Listener(config.listen, self._assembly.fronts[0].accept)
        self._listeners[0].close()
        self._listeners[0] = listener

    def _apply(self, config: Config, operator: Operator | None) -> None:
        assembly = self._assembly
        settings = config.settings
        assembly.config = config
        assembly.core.adopt(settings)
        assembly.reader.adopt(settings)
        assembly.http_dialer.settings = settings
        assembly.pool.settings = settings
        for part in assembly.parts:
            part.adopt(config)
            if operator is not None:
                part.retold(operator)
        assembly.apply_limits()
        assembly.watch.adopt(config.discovery, settings)


def _require_same_names(old: api.Settings, new: api.Settings) -> None:
    """Raise a ConfigError where names differ by which open requests and learnt state are counted."""
    for field in FIXED_NAMES:
        if _names(old, field) != _names(new, field):
            raise ConfigError(f"the names of its {field} differ, which takes a restart")


def _names(settings: api.Settings, field: str) -> list[object]:
    return [getattr(item, "name", item) for item in getattr(settings, field)]
