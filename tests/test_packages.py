"""Every command of the deploy files comes from a system package that they list, or from the build.

The operators' machines have Debian's essential packages and those of `packages`, and nothing else.
"""

import re
import shlex
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY_FILES = ("deploy/system.toml", "deploy/balancer.toml")
ESSENTIAL = {"[", "test", "cd", "exec", "rm", "true"}  # shell builtins and coreutils
PACKAGE_OF_COMMAND = {"python3": "python3"}
PACKAGE_OF_MODULE = {"pip": "python3-pip", "venv": "python3-venv"}  # Debian packages both apart from python3
MODULES_OF_PYTHON = {"compileall"}
MADE_BY_BUILD = {".venv/bin/python", ".venv/bin/pip"}  # `python3 -m venv` makes both
WHEELS_ONLY = "--only-binary :all:"


def deploy(path: str) -> dict:
    return tomllib.loads((ROOT / path).read_text())


def command_lines(settings: dict) -> list[str]:
    """The shell lines of a deploy file."""
    lines = [settings[key] for key in ("build", "run", "sim") if key in settings]
    return lines + [role["run"] for role in settings.get("roles", {}).values()]


def simple_commands(line: str) -> list[list[str]]:
    """The words of each command of a shell line, without operators and parentheses."""
    tokens = shlex.shlex(line, posix=True, punctuation_chars=True)
    tokens.whitespace_split = True
    commands, words = [], []
    for token in tokens:
        if re.fullmatch(r"[();&|<>]+", token):
            commands.append(words)
            words = []
        else:
            words.append(token)
    return [words for words in [*commands, words] if words]


def program_of(words: list[str]) -> list[str]:
    """The words without a leading `exec`, which only replaces the shell."""
    return words[1:] if words[0] == "exec" else words


def needed_packages(line: str) -> set[str]:
    """System packages that a shell line needs.  Raises KeyError for a command that nothing here provides."""
    needed = set()
    for words in map(program_of, simple_commands(line)):
        if words[0] in ESSENTIAL or words[0] in MADE_BY_BUILD:
            continue
        needed.add(PACKAGE_OF_COMMAND[words[0]])
        module = words[words.index("-m") + 1] if "-m" in words else ""
        if module and module != "molespur" and module not in MODULES_OF_PYTHON:
            needed.add(PACKAGE_OF_MODULE[module])
    return needed


@pytest.mark.parametrize("path", DEPLOY_FILES)
def test_the_listed_packages_are_exactly_those_that_the_lines_need(path):
    settings = deploy(path)
    needed = set().union(*map(needed_packages, command_lines(settings)))
    assert set(settings["packages"]) == needed


@pytest.mark.parametrize("path", DEPLOY_FILES)
def test_the_build_makes_the_venv_that_the_lines_use(path):
    settings = deploy(path)
    used = {words[0] for line in command_lines(settings) for words in map(program_of, simple_commands(line))}
    if used & MADE_BY_BUILD:
        assert "python3 -m venv .venv" in settings["build"]


@pytest.mark.parametrize("path", DEPLOY_FILES)
def test_libraries_come_as_wheels_so_that_no_compiler_is_needed(path):
    installs = [line for line in simple_commands(deploy(path)["build"]) if "install" in line]
    assert installs
    for words in installs:
        assert WHEELS_ONLY in " ".join(words)


@pytest.mark.parametrize("path", DEPLOY_FILES)
def test_readme_names_the_packages(path):
    line = "apt-get install " + " ".join(sorted(deploy(path)["packages"]))
    assert line in (ROOT / "README.md").read_text()


@pytest.mark.parametrize("line", ("make all", "python3 -m venv x && gcc -c x.c", "python3 -m ensurepip"))
def test_a_command_of_no_listed_package_is_detected(line):
    with pytest.raises(KeyError):
        needed_packages(line)


def test_an_installation_contains_every_package_of_the_source():
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    found = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "molespur").rglob("__init__.py")
    }
    assert set(listed) == found
