"""``sabledyke tls check``: checks the keys that an operator's file names, without serving."""

from __future__ import annotations

import sys
import time
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError


def main(arguments: Mapping[str, Any]) -> int:
    """Check the keys, and print the names that they are valid for and when they expire.

    Args:
        arguments: The command line, as docopt reads it.

    Returns:
        The exit code: 0 if the keys can be used, 1 if one of them expires within 30 days, 2 if they cannot
        be used.
    """
    try:
        from sabledyke.tls import key_material, keyring, section
    except ImportError:
        print("sabledyke: tls requires cryptography: pip install 'sabledyke[tls]'", file=sys.stderr)
        return 2
    now_ms = time.time() * 1000
    try:
        tls_section = section.load(arguments["FILE"])
        material = key_material.check_key_files(tls_section.paths.read_files(), now_ms)
    except (ConfigError, key_material.MaterialError) as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2
    names = ", ".join(material.names) or "no name"
    print(
        f"certificate is valid for {names}" if material.files.chain else "this scheduler has no certificate"
    )
    for expires_ms, subject in sorted(material.expirations):
        print(f"{subject}: expires in {(expires_ms - now_ms) / keyring.DAY_MS:.1f} days")
    print(f"storage nodes are known as {tls_section.name_template}")
    first_expires_ms = material.first_expiration[0]
    expires_soon = first_expires_ms - now_ms <= max(keyring.WARNING_DAYS) * keyring.DAY_MS
    return 1 if expires_soon else 0
