"""Where in a file a key stands, for messages that name the line at fault.  YAML, and JSON as a part of it."""

import re

import yaml

STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")  # a key, or a place in a list: Routes[3].TimeoutMs


def line_of(text: str, path: str) -> int | None:
    """The line, from 1, of the deepest part of a path that the text has; None for unreadable text."""
    try:
        node = yaml.compose(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.MarkedYAMLError as error:
        return error.problem_mark.line + 1 if error.problem_mark else None
    except yaml.YAMLError:
        return None
    if node is None:
        return None
    line = node.start_mark.line + 1
    for key, place in STEP.findall(path):
        found = _child(node, key, place)
        if found is None:
            break
        mark, node = found
        line = mark.line + 1
    return line


def _child(node: yaml.Node, key: str, place: str) -> tuple[yaml.Mark, yaml.Node] | None:
    """Where a part of a node begins, and the part."""
    if isinstance(node, yaml.MappingNode) and key:
        for name, value in node.value:
            if name.value == key:
                return name.start_mark, value
    if isinstance(node, yaml.SequenceNode) and place and int(place) < len(node.value):
        item = node.value[int(place)]
        return item.start_mark, item
    return None
