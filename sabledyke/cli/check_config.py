"""``sabledyke check-config``: summarizes the configuration and the operator's file, without serving."""

from __future__ import annotations

from sabledyke.config import Config
from sabledyke.operator_config import OperatorConfig


def describe(deployment: Config, operator_config: OperatorConfig | None) -> list[str]:
    """Return a line for the configuration, and one for the operator's file if there is one."""
    lines = [_describe_deployment(deployment)]
    if operator_config is not None:
        lines.append(_describe_operator_config(operator_config))
    return lines


def _describe_deployment(deployment: Config) -> str:
    host, port = deployment.listen
    known_nodes = deployment.known.update.entries if deployment.known else ()
    return (
        f"{deployment.name}: listens at {host}:{port}, "
        f"{len(known_nodes)} nodes known, {len(deployment.settings.classes)} classes, "
        f"{len(deployment.settings.plans)} plans"
    )


def _describe_operator_config(operator_config: OperatorConfig) -> str:
    nvme = operator_config.nvme
    address = ":".join(map(str, nvme.listen)) if nvme.listen else "nowhere"
    return (
        f"operator's file: NVMe at {address}, {len(nvme.volumes)} volumes, "
        f"{len(nvme.nodes)} boxes; "
        f"store {operator_config.store or 'off'}; TLS {'on' if operator_config.tls else 'off'}; "
        f"leases {operator_config.lease or 'off'}"
    )
