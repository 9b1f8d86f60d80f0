"""The example in README runs as it is printed."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_embedding_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example
    exec(compile(example.group(1), "README.md", "exec"), {})
