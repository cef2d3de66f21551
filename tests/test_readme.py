"""The embedding example in README runs as printed."""

from pathlib import Path


def test_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n", 1)[1].split("```", 1)[0]
    exec(compile(code, "README.md", "exec"), {})
    assert "assert" in code
