"""Tests of the verification of storage nodes, and of the scheduler's own keys at its start."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import pytest

from tests.standins import Service, http
from tests.standins.tls import FixedResponseNode, TlsNode, server_context
from tests.support.server_rig import DEPLOYMENT
from tests.tls.tls_server_rig import (
    NODE,
    NODE_CHAIN,
    NODE_CONTEXT,
    NODE_KEY,
    OTHER_ROOT,
    ROOT,
    SCHEDULER_CHAIN,
    SCHEDULER_KEY,
    TlsServerRig,
    run_scenario,
    write_keys,
)


def test_the_name_in_a_nodes_certificate_may_contain_its_zone(tmp_path: Path) -> None:
    node = TlsNode(server_context(*ROOT.issue(f"plain.{DEPLOYMENT.zones[0]}.example")))

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request() == 200

    run_scenario(tmp_path, node, scenario, name_template="{host}.{site}.example")


def test_both_sides_verify_certificates_and_reconnections_resume_the_session(tmp_path: Path) -> None:
    node = TlsNode(server_context(NODE_CHAIN, NODE_KEY, ROOT.root))  # requires the scheduler's certificate

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request() == 200
        assert await rig.request("k") == 200
        for _ in range(20):
            rig.server.pool.close_idle(NODE)
            assert await rig.request() == 200
        connector = rig.extension.connector
        assert connector.full_handshakes == 1
        assert connector.resumed_handshakes == 20
        assert connector.failed_handshakes == 0
        assert node.resumed == 20

    run_scenario(tmp_path, node, scenario)


def untrusted_node(fault: str) -> Service:
    """Return a storage node that cannot be verified or does not complete the handshake."""
    match fault:
        case "plain":
            return FixedResponseNode(http(200, b"secret"), "stall")
        case "garbage":
            return FixedResponseNode(b"\x99" * 500, "stall")
        case "silent":
            return FixedResponseNode(b"", "stall")
        case "ends":
            return FixedResponseNode(b"", "end")
        case "expired":
            return TlsNode(server_context(*ROOT.issue("plain", days=-0.1)))
        case "name":
            return TlsNode(server_context(*ROOT.issue("another")))
        case "root":
            return TlsNode(server_context(*OTHER_ROOT.issue("plain")))
        case "old":
            return TlsNode(server_context(NODE_CHAIN, NODE_KEY, version=ssl.TLSVersion.TLSv1_2))
        case _:
            return TlsNode(NODE_CONTEXT)


@pytest.mark.parametrize(
    ("fault", "logged"),
    [
        ("expired", "certificate has expired"),
        ("name", "Hostname mismatch"),
        ("root", "local issuer"),
        ("revoked", "certificate revoked"),
        ("old", "closed the connection during the handshake"),
        ("plain", "it does not speak TLS"),
        ("garbage", "it does not speak TLS"),
        ("silent", "the handshake timed out"),
        ("ends", "closed the connection during the handshake"),
    ],
)
def test_a_node_that_cannot_be_verified_receives_no_request_and_is_logged_once(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], fault: str, logged: str
) -> None:
    node = untrusted_node(fault)

    async def scenario(rig: TlsServerRig) -> None:
        read_status = await rig.request()
        write_status = await rig.request("k")
        assert read_status == 503
        assert write_status == 503  # both requests were rejected and have not run
        assert rig.extension.connector.failed_handshakes >= 1
        if isinstance(node, TlsNode):
            assert not node.seen

    revoked = ROOT.revoke(NODE_CHAIN) if fault == "revoked" else b""
    write_keys(tmp_path, SCHEDULER_CHAIN, SCHEDULER_KEY, ROOT.root, revoked)
    run_scenario(tmp_path, node, scenario)
    output = capfd.readouterr().err
    assert output.count("sabledyke tls: plain: ") == 1
    assert logged in output


def test_tls_1_2_is_used_if_it_is_allowed(tmp_path: Path) -> None:
    node = TlsNode(server_context(NODE_CHAIN, NODE_KEY, version=ssl.TLSVersion.TLSv1_2))

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request() == 200

    run_scenario(tmp_path, node, scenario, allow_tls_1_2=True)


def test_a_key_that_does_not_match_its_certificate_stops_the_start_with_a_one_line_error(
    tmp_path: Path,
) -> None:
    node = TlsNode(NODE_CONTEXT)

    async def start() -> str:
        await node.open()
        rig = TlsServerRig(tmp_path, node)
        write_keys(tmp_path, SCHEDULER_CHAIN, NODE_KEY, ROOT.root)
        try:
            await rig.__aenter__()
        except Exception as error:
            return str(error)
        finally:
            node.die()
            rig.discovery.die()
        return ""

    assert asyncio.run(start()) == "tls: the key does not belong to certificate CN=scheduler"
