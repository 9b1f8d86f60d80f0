"""sabledyke, an I/O scheduler for storage nodes.

Usage:
  sabledyke [serve] [--operator FILE]
  sabledyke check-config [--operator FILE]
  sabledyke store (check | migrate | audit | reconcile) --operator FILE
  sabledyke store (backup | restore) FILE --operator FILE
  sabledyke store export FILE [--since MS] --operator FILE
  sabledyke tls check FILE
  sabledyke lease status --operator FILE
  sabledyke lease release DUTY [--force] --operator FILE
  sabledyke fleet status --operator FILE
  sabledyke fleet plan FILE --operator FILE
  sabledyke fleet (halt | resume | back) PLAN --operator FILE
  sabledyke fleet forget MEMBER --operator FILE
  sabledyke lab check-leases [--whole]
  sabledyke lab run FILE [--seed N] [--keep DIR]
  sabledyke version
  sabledyke (-h | --help)

Commands:
  serve         Serve until SIGTERM; the default.
  check-config  Read the configuration, say what it holds, and end.
  store         Work on the record that the operator's file names:
    check         Can it be opened, is it sound, what does it hold.
    migrate       Bring its schema up to date, in place.
    audit         Walk the journal's chains; a changed or missing entry is named.
    reconcile     Compare journal, record of sends and what boxes showed.
    backup        Copy it, also in service, into a new SQLite file.
    restore       Fill an empty record from a backup, once that passes its checks.
    export        The journal as JSON lines, to a new file or - for standard output.
  tls check     Say what the keys that an operator's file names are good for, and until when.
  lease         Leases of the fleet's duties, at the authority that the operator's file names:
    status        Who holds which, under which token, and for how long yet.
    release       Have its holder give one up when it next renews.
  fleet         Restarts, releases and drains agreed across a fleet, on the board that the file names:
    status        Members, tickets, drains and plans.
    plan          Begin the plan that a file (TOML) describes.
    halt          Nobody goes out any more under a plan; who is out comes back.
    resume        Go on with it.
    back          Release again, in reverse, what was released under it; take in boxes that it drains.
    forget        A member that is out is gone for good: it counts nowhere any more.
  lab           The laboratory; nothing of it is loaded by serve:
    check-leases  Explore all that can happen to small fleets that share a lease.
    run           Start the processes of an experiment (TOML), inject its faults, and check what they did.
  version       Print the version.

Options:
  --operator FILE  What is off on the platform: NVMe over TCP, the store of record, leases (TOML).
  --force          Free it at once: its holder may go on until it renews, and only fencing keeps it apart.
  --whole          Also the larger fleets, which take minutes.
  --seed N         Of the experiment's draws [default: 1].
  --keep DIR       Leave all that was written in this new folder.
  --since MS       Only entries from then on, in Unix milliseconds.
  -h --help        This text.

The environment says what to serve: GW_CONFIG names the JSON file of settings; GW_NAME, GW_LISTEN and
GW_DISCOVERY win over what the file says.
"""

from __future__ import annotations

import asyncio
import functools
import importlib
import os
import signal
import sys
from typing import TYPE_CHECKING

from sabledyke import config

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

VERSION = "0.1.0"
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
SUBCOMMAND_GROUPS = ("tls", "lease", "fleet", "lab", "store")
"""Commands that have sub-commands; the ``sabledyke.cli`` module of the same name implements each."""


def main(arguments: list[str]) -> int:
    """Run one command.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code: 0 for success, 2 for a configuration that cannot be used; a group of sub-commands may
        return others.
    """
    if not arguments:  # skips the import of docopt, for a quick plain start
        return _serve_command(None)
    from docopt import docopt

    options = docopt(__doc__, arguments)
    for group in SUBCOMMAND_GROUPS:
        if options[group]:
            exit_code: int = importlib.import_module(f"sabledyke.cli.{group}").main(options)
            return exit_code
    if options["version"]:
        print(f"sabledyke {VERSION}")
        return 0
    if options["check-config"]:
        return _check_config_command(options["--operator"])
    return _serve_command(options["--operator"])


def serve(
    deployment: config.Config, operator_config: OperatorConfig | None, operator_path: str | None = None
) -> None:
    """Run one scheduler until a signal ends it.

    Args:
        deployment: The platform's configuration.
        operator_config: The contents of the operator's file; None without one.
        operator_path: Path of the operator's file, which SIGHUP reloads.

    Raises:
        ConfigError: The configuration cannot be used, as found while starting.
        OSError: A listener cannot be opened.
    """
    from sabledyke.application.server import Server

    read_operator = None
    if operator_path is not None:
        from sabledyke import operator_config as operator_file  # imported here for a quick plain start

        read_operator = functools.partial(operator_file.load, operator_path)
    if operator_config is not None and operator_config.json_log:
        from sabledyke import structured_log

        structured_log.set_up(deployment.name)

    async def run() -> None:
        read_config = functools.partial(config.load, os.environ)
        try:
            await Server(
                deployment, operator_config, read_config=read_config, read_operator=read_operator
            ).run()
        finally:
            # Blocks the signals once the loop has removed its handlers: the default action would kill the
            # process although all accepted requests are answered, and the exit code must be 0 then.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    asyncio.run(run())


def _serve_command(operator_path: str | None) -> int:
    # Blocks SIGHUP until the server handles it: the default action ends the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    try:
        deployment, operator_config = _load(operator_path)
    except config.ConfigError as error:
        return _report(error)
    try:
        serve(deployment, operator_config, operator_path)
    except (config.ConfigError, OSError) as error:  # the store or a listener cannot be opened
        return _report(error)
    return 0


def _check_config_command(operator_path: str | None) -> int:
    try:
        deployment, operator_config = _load(operator_path)
    except config.ConfigError as error:
        return _report(error)
    from sabledyke.cli import check_config

    print("\n".join(check_config.describe(deployment, operator_config)))
    return 0


def _report(error: Exception) -> int:
    """Print why the configuration cannot be used, and return the exit code of that failure."""
    print(f"sabledyke: {error}", file=sys.stderr)
    return 2


def _load(operator_path: str | None) -> tuple[config.Config, OperatorConfig | None]:
    """Read the configuration that the environment names, and the operator's file where there is one."""
    deployment = config.load(os.environ)
    if not operator_path:
        return deployment, None
    from sabledyke import operator_config as operator_file  # imported here for a quick plain start

    return deployment, operator_file.load(operator_path, deployment.settings)


def command() -> None:
    """Run the command line of the installed program, and exit with its exit code."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    command()
