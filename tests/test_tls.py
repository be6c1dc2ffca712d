"""TLS for peers and operators; untrusted certificates are refused."""

import json
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest
from conftest import BackgroundLoop, Deployment

from rosepath_standins.cluster import Cluster


def make_ca(folder: Path, name: str) -> None:
    """Create a certificate authority with the openssl command."""
    _openssl(
        *("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2"),
        *("-subj", f"/CN={name}", "-keyout", folder / f"{name}.key"),
        *("-out", folder / f"{name}.pem"),
    )


def make_certificate(folder: Path, name: str, *, ca: str) -> None:
    """Create a certificate signed by a certificate authority."""
    request = folder / f"{name}.csr"
    _openssl(
        *("req", "-newkey", "rsa:2048", "-nodes", "-subj", f"/CN={name}"),
        *("-keyout", folder / f"{name}.key", "-out", request),
    )
    _openssl(
        *("x509", "-req", "-in", request, "-days", "2", "-CAcreateserial"),
        *("-CA", folder / f"{ca}.pem", "-CAkey", folder / f"{ca}.key"),
        *("-out", folder / f"{name}.pem"),
    )


def _openssl(*arguments: object) -> None:
    command = ["openssl", *map(str, arguments)]
    subprocess.run(command, check=True, capture_output=True)


def tls(folder: Path, name: str, *, ca: str = "ca") -> dict[str, str]:
    return {
        "certificate_file": str(folder / f"{name}.pem"),
        "key_file": str(folder / f"{name}.key"),
        "client_ca_file": str(folder / f"{ca}.pem"),
    }


@pytest.fixture(scope="module")
def secured(
    tmp_path_factory: pytest.TempPathFactory, background: BackgroundLoop
) -> Iterator[Deployment]:
    folder = tmp_path_factory.mktemp("tls")
    make_ca(folder, "ca")
    make_ca(folder, "other-ca")
    for name in ("entry-1", "entry-2", "amina"):
        make_certificate(folder, name, ca="ca")
    make_certificate(folder, "entry-3", ca="other-ca")
    deployment = Deployment(folder, deployment="mahkama")

    async def start() -> None:
        deployment.start_platform()
        await deployment.wait_listening()
        for name in ("entry-1", "entry-2"):
            start_secured(deployment, name)
        await deployment.wait_live()

    background.run(start())
    yield deployment
    deployment.stop()


def start_secured(
    deployment: Cluster, name: str, *, ca: str = "ca", deployment_name: str = "mahkama"
) -> None:
    deployment.deployment = deployment_name
    settings = {
        "peers.tls": tls(deployment.folder, name, ca=ca),
        "operators.tls": tls(deployment.folder, name, ca=ca),
    }
    seeds = [daemon.peers for daemon in deployment.daemons.values()]
    deployment.start_daemon(name, "casa-a", settings=settings, seeds=seeds)


def run_cli(deployment: Cluster, monkeypatch: pytest.MonkeyPatch, *words: str) -> str:
    folder = deployment.folder
    monkeypatch.setenv("ROSEPATH_CA_FILE", str(folder / "ca.pem"))
    monkeypatch.setenv("ROSEPATH_CERTIFICATE_FILE", str(folder / "amina.pem"))
    monkeypatch.setenv("ROSEPATH_KEY_FILE", str(folder / "amina.key"))
    done = deployment.cli(*words, daemon="entry-1")
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_an_operators_identity_is_recorded(
    secured: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_cli(secured, monkeypatch, "declare", "service", "greffe-api", "{}")
    entries = json.loads(run_cli(secured, monkeypatch, "history", "--output", "json"))
    assert entries[0]["operator"] == "amina"


def test_an_operator_without_a_certificate_is_refused(secured: Deployment) -> None:
    assert secured.cli("status", daemon="entry-1").returncode != 0


def known_entry_vms(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> dict[str, str]:
    status = json.loads(run_cli(deployment, monkeypatch, "status", "--output", "json"))
    return {row["name"]: row["state"] for row in status["entry_vms"]}


def test_peers_of_one_ca_discover_each_other(
    secured: Deployment, background: BackgroundLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    background.run(
        secured.until(
            lambda: known_entry_vms(secured, monkeypatch).get("entry-2") == "alive"
        )
    )


def test_a_peer_of_another_ca_or_deployment_is_not_admitted(
    secured: Deployment, background: BackgroundLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A peer that is not admitted retries its seeds. A valid peer that starts
    # later becomes known, so the other had enough time to be admitted.
    make_certificate(secured.folder, "entry-4", ca="ca")
    make_certificate(secured.folder, "entry-5", ca="ca")

    async def start() -> None:
        start_secured(secured, "entry-3", ca="other-ca")
        start_secured(secured, "entry-4", deployment_name="somebody-else")
        await secured.until(lambda: "peer_refused" in log(secured, "entry-4"))
        start_secured(secured, "entry-5")
        await secured.until(lambda: "entry-5" in known_entry_vms(secured, monkeypatch))

    background.run(start())
    assert known_entry_vms(secured, monkeypatch).keys() == {
        "entry-1",
        "entry-2",
        "entry-5",
    }


def log(deployment: Deployment, name: str) -> str:
    daemons = [name, "entry-1", "entry-2"]
    return "".join((deployment.folder / f"{n}.log").read_text() for n in daemons)
