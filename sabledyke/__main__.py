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

import functools
import os
import sys
from typing import TYPE_CHECKING

from sabledyke import config

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

VERSION = "0.1.0"


def serve(settings: config.Config, operator: OperatorConfig | None, path: str | None = None) -> None:
    """Run one scheduler; ``path`` is the operator's file, which SIGHUP has read again."""
    import asyncio

    from sabledyke.application.server import Server

    again = None
    if path is not None:
        from sabledyke import operator_config as operators_file  # only here, so that a plain start is quick

        again = functools.partial(operators_file.load, path)
    if operator is not None and operator.json_log:
        from sabledyke import structured_log

        structured_log.set_up(settings.name)

    async def run() -> None:
        reread = functools.partial(config.load, os.environ)
        await Server(settings, operator, reread=reread, reread_operator=again).run()

    asyncio.run(run())


def _operator(path: str, settings: config.Config) -> OperatorConfig:
    from sabledyke import operator_config  # only here, so that a plain start is quick

    return operator_config.load(path, settings.settings)


def main(arguments: list[str]) -> int:
    """Run one command; 0 for success, 2 for a configuration that cannot be used."""
    command, path = "serve", None
    if arguments:  # a plain start spares the time that reading the command line takes
        from docopt import docopt

        said = docopt(__doc__, arguments)
        command = next((c for c in ("check-config", "version") if said[c]), "serve")
        path = said["--operator"]
        if said["tls"]:
            from sabledyke.cli import tls

            return tls.main(said)
        if said["lease"]:
            from sabledyke.cli import lease

            return lease.main(said)
        if said["fleet"]:
            from sabledyke.cli import fleet

            return fleet.main(said)
        if said["lab"]:
            from sabledyke.cli import lab

            return lab.main(said)
        if said["store"]:
            from sabledyke.cli import store

            return store.main(said)
    if command == "version":
        print(f"sabledyke {VERSION}")
        return 0
    try:
        settings = config.load(os.environ)
        operator_config = _operator(path, settings) if path else None
    except config.ConfigError as fault:
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2
    if command == "check-config":
        known = settings.known.update.entries if settings.known else ()
        print(
            f"{settings.name}: listens at {settings.listen[0]}:{settings.listen[1]}, "
            f"{len(known)} nodes known, {len(settings.settings.classes)} classes, "
            f"{len(settings.settings.plans)} plans"
        )
        if operator_config is not None:
            where = ":".join(map(str, operator_config.listen)) if operator_config.listen else "nowhere"
            print(
                f"operator's file: NVMe at {where}, {len(operator_config.volumes)} volumes, "
                f"{len(operator_config.boxes)} boxes; "
                f"store {operator_config.store or 'off'}; TLS {'on' if operator_config.tls else 'off'}; "
                f"leases {operator_config.lease or 'off'}"
            )
        return 0
    try:
        serve(settings, operator_config, path)
    except (config.ConfigError, OSError) as fault:  # no store, or an address that cannot be listened at
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2
    return 0


def command() -> None:
    """The installed command."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    command()
