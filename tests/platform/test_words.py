"""Only the platform adapter uses names of the platform's protocol."""

import pathlib
import re

import pytest

import greengagedale

PACKAGE = pathlib.Path(greengagedale.__file__).parent
WORDS = re.compile(
    r"server-seal|part-seals|parts-missing|target-instance|not-executed|"
    r"server-load|instance-id|deadline-ms|/-/|\bdraining\b.*state|"
    r"minCoverage|targetLatencyMs|timeoutMs|pathPrefix|storeRevision|"
    r"warmupLeftMs|maxAttempts|topK|maxConnections|bindAddresses|nodeName",
    re.IGNORECASE,
)


@pytest.mark.parametrize(
    "path",
    sorted(
        path
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
    ),
    ids=lambda path: str(path.relative_to(PACKAGE)),
)
def test_module_does_not_use_platform_names(path):
    assert WORDS.findall(path.read_text(encoding="utf-8")) == []
