"""The server's side of SCRAM-SHA-256 without channel binding, as specified in RFC 5802 and RFC 7677."""

from __future__ import annotations

import base64
import hashlib
import hmac
import secrets

ITERATIONS = 4096
NONCE_BYTES = 12
SALT_BYTES = 16


class ScramServer:
    """One authentication exchange with a client."""

    def __init__(self, password: str) -> None:
        self._password = password.encode()
        self._salt = secrets.token_bytes(SALT_BYTES)
        self._nonce = ""
        self._client_first = ""
        self._server_first = ""

    def first_message(self, client_message: bytes) -> bytes:
        """Return the server's first message in response to the client's first message."""
        self._client_first = client_message.decode().split(",", 2)[2]
        client_nonce = dict(pair.split("=", 1) for pair in self._client_first.split(","))["r"]
        self._nonce = client_nonce + secrets.token_urlsafe(NONCE_BYTES)
        salt = base64.b64encode(self._salt).decode()
        self._server_first = f"r={self._nonce},s={salt},i={ITERATIONS}"
        return self._server_first.encode()

    def final_message(self, client_message: bytes) -> bytes | None:
        """Return the server's final message in response to the client's; None if the password is wrong."""
        client_final, proof = client_message.decode().rsplit(",p=", 1)
        signed = f"{self._client_first},{self._server_first},{client_final}".encode()
        expected_proof, server_signature = self._signatures(signed)
        if f"r={self._nonce}" not in client_final or base64.b64decode(proof) != expected_proof:
            return None
        return b"v=" + base64.b64encode(server_signature)

    def _signatures(self, signed: bytes) -> tuple[bytes, bytes]:
        """Return the client's proof and the server's signature."""
        salted = hashlib.pbkdf2_hmac("sha256", self._password, self._salt, ITERATIONS)
        client_key = hmac.digest(salted, b"Client Key", "sha256")
        client_signature = hmac.digest(hashlib.sha256(client_key).digest(), signed, "sha256")
        proof = bytes(a ^ b for a, b in zip(client_key, client_signature, strict=True))
        server_key = hmac.digest(salted, b"Server Key", "sha256")
        return proof, hmac.digest(server_key, signed, "sha256")
