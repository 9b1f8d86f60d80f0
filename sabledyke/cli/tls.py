"""``sabledyke tls check``: what the keys of an operator's file are good for, without a start."""

from __future__ import annotations

import sys
import time
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError


def main(said: Mapping[str, Any]) -> int:
    """0 where the keys can be used, 1 where they end within 30 days, 2 where they cannot be used."""
    try:
        from sabledyke.tls import key_material, keyring, section
    except ImportError:
        print("sabledyke: tls wants cryptography: pip install 'sabledyke[tls]'", file=sys.stderr)
        return 2
    now = time.time() * 1000
    try:
        found = section.load(said["FILE"])
        checked = key_material.check_key_files(found.paths.read_files(), now)
    except (ConfigError, key_material.MaterialError) as fault:
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2
    names = ", ".join(checked.names) or "no name"
    print(f"our certificate is for {names}" if checked.files.chain else "no certificate of ours")
    for end, what in sorted(checked.expirations):
        print(f"{what}: ends in {(end - now) / keyring.DAY_MS:.1f} days")
    print(f"boxes are known as {found.name_template}")
    return 1 if checked.first_expiration[0] - now <= max(keyring.WARNING_DAYS) * keyring.DAY_MS else 0
