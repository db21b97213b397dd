"""Finds the line of a key in a YAML or JSON file, for error messages."""

import re

import yaml

PATH_ELEMENT = re.compile(r"([^.\[\]]+)|\[(\d+)\]")  # a key or a list index, as in Routes[3].TimeoutMs


def find_line(text: str, path: str) -> int | None:
    """Return the 1-based line of the longest prefix of `path` that exists in the text.

    For text that is not YAML, returns the line of the syntax error, or None if it is unknown.
    """
    try:
        node = yaml.compose(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.MarkedYAMLError as error:
        return error.problem_mark.line + 1 if error.problem_mark else None
    except yaml.YAMLError:
        return None
    if node is None:
        return None
    line = node.start_mark.line + 1
    for key, index in PATH_ELEMENT.findall(path):
        found = _child(node, key, index)
        if found is None:
            break
        mark, node = found
        line = mark.line + 1
    return line


def _child(node: yaml.Node, key: str, index: str) -> tuple[yaml.Mark, yaml.Node] | None:
    """Return the start of a child and the child itself; None if the node has no such child."""
    if isinstance(node, yaml.MappingNode) and key:
        for name, value in node.value:
            if name.value == key:
                return name.start_mark, value
    if isinstance(node, yaml.SequenceNode) and index and int(index) < len(node.value):
        item = node.value[int(index)]
        return item.start_mark, item
    return None
