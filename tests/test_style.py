"""Checks the OpenStack rule that modules are imported, not objects."""

import ast
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
FILES = sorted(
    path
    for package in ('oleanderdrift', 'standins', 'tests', 'bench')
    for path in (ROOT / package).glob('**/*.py')
)


def imported_objects(tree: ast.AST) -> list[str]:
    """Returns the non-modules that `from x import y` statements name."""
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        for alias in node.names:
            name = f'{node.module}.{alias.name}'
            try:
                spec = importlib.util.find_spec(name)
            except ModuleNotFoundError:
                spec = None
            if spec is None:
                found.append(name)
    return found


def test_check_can_fail() -> None:
    tree = ast.parse('from os.path import join')
    assert imported_objects(tree) == ['os.path.join']


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.name)
def test_only_modules_are_imported(path: pathlib.Path) -> None:
    assert imported_objects(ast.parse(path.read_text())) == []
