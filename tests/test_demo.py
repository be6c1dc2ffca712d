"""Tests of the demo and of the command line's exit codes on real processes."""

from pathlib import Path

from conftest import Deployment

from rosepath.cli_calls import EXIT_CONFLICT, EXIT_INVALID, EXIT_NOT_FOUND
from rosepath_standins.demo import run_demo


def test_demo_succeeds(tmp_path: Path) -> None:
    assert run_demo(keep=tmp_path) == 0


def test_command_line_exit_codes(deployment: Deployment, tmp_path: Path) -> None:
    def code(*words: str) -> int:
        return int(deployment.cli(*words).returncode)

    broken = tmp_path / "broken.toml"
    broken.write_text("[model.x]\nmemory_bytes = 'many'\n")
    big = '{"memory_bytes": 999999999}'
    assert code("apply", str(broken)) == EXIT_INVALID
    assert code("declare", "model", "big", big) == EXIT_INVALID
    assert code("get", "model", "none") == EXIT_NOT_FOUND
    old = ("--expected-version", "0")
    assert code("declare", "service", "s", "{}", *old) == EXIT_CONFLICT
    assert code("get", "model", "court-rules") == 0


def test_dry_run_prints_moves_and_changes_nothing(deployment: Deployment) -> None:
    words = ("declare", "model", "extra", '{"memory_bytes": 1000}', "--dry-run")
    done = deployment.cli(*words)
    assert "+ model extra" in done.stdout
    assert "move: load extra on engine-" in done.stdout
    listed = deployment.cli("list", "model").stdout
    assert "extra" not in listed
