"""Test that only the platform adapter uses the platform's names."""

import re
from pathlib import Path

import rosepath

PACKAGE = Path(rosepath.__file__).parent
ADAPTER = PACKAGE / "platform"
MAX_ADAPTER_LINES = 900
# Names of the platform's calls, headers and fields without another meaning.
NAMES = re.compile(
    r"Not-Executed|Token-Usage|Prompt-Prefix|Target-Instance|Request-Deadline-Ms"
    r"|Response-Signature|Instance-Id|Server-Load|Server-Limit|Server-Leaving|Request-Priority|fencingToken"
    r"|trafficSplit|markedForDeletion|model_load|model_unload|kvUsed|pathPrefix"
    r"|targetLatencyMs|atRevision|/v1/objects|/v1/order|/v1/report|/v1/ready"
)


def test_no_module_outside_the_adapter_uses_the_platforms_names() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if ADAPTER not in path.parents
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_adapter_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < MAX_ADAPTER_LINES


def test_the_pattern_matches_names_in_the_adapter() -> None:
    assert NAMES.search((ADAPTER / "calls.py").read_text())
