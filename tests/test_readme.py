"""The Python example of README.md runs unchanged."""

import re
from pathlib import Path


def test_example_sends_the_job(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S).group(1)
    exec(compile(code, "README.md", "exec"), {})
    assert "Send(request=1" in capsys.readouterr().out
