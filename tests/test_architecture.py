"""Test that the imports between parts of the program follow the table in docs/architecture.md."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "balancer"
PAGE = ROOT / "docs" / "architecture.md"
TABLE_HEAD = "| part | may import |"
SUBSYSTEM_ADAPTERS = {
    "durable_adapter",
    "fleet",
    "recovery_adapter",
    "recovery_handover",
}
"""The only modules of `net` that may import membership, durable or recovery.

The node loads them only if a fleet file is configured.
"""


def allowed() -> dict[str, set[str]]:
    """Return the parts that each part may import according to docs/architecture.md."""
    lines = PAGE.read_text("utf-8").split("\n")
    rows = lines[lines.index(TABLE_HEAD) + 2 :]
    found = {}
    for row in rows:
        if not row.startswith("|"):
            break
        part, others = (cell.strip() for cell in row.strip("|").split("|"))
        found[part.strip("`")] = {name.strip(" `") for name in others.split(",")} - {"nothing"}
    return found


def part_of(module: str) -> str:
    """Return the part of the program that a module belongs to, given its dotted name."""
    names = module.split(".")
    return names[1] if len(names) > 1 else "__main__"


def modules() -> Iterator[tuple[str, Path]]:
    """Yield the dotted name and the file of each module of the program."""
    for path in sorted(PACKAGE.rglob("*.py")):
        names = path.relative_to(ROOT).with_suffix("").parts
        if names != ("balancer", "__init__"):
            yield ".".join(names), path


def imports(path: Path) -> Iterator[tuple[str, int]]:
    """Yield each module of the program that a file imports at any level, and the line of the import."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module == "balancer":
            for alias in node.names:
                yield f"balancer.{alias.name}", node.lineno
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("balancer."):
            for alias in node.names:
                yield f"{node.module}.{alias.name}", node.lineno
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.split(".")[0] == "balancer":
                    yield alias.name, node.lineno


def test_each_part_imports_only_what_the_page_allows() -> None:
    rules = allowed()
    wrong = [
        f"{path.relative_to(ROOT)}:{line}: {part_of(module)} imports {part_of(target)}"
        for module, path in modules()
        for target, line in imports(path)
        if part_of(target) != part_of(module) and part_of(target) not in rules[part_of(module)]
    ]
    assert not wrong, "\n".join(wrong)


def test_the_page_names_every_part_and_nothing_else() -> None:
    assert set(allowed()) == {part_of(module) for module, _ in modules()}


def test_imports_between_parts_have_no_cycle() -> None:
    rules = allowed()
    while leaves := {part for part, others in rules.items() if not others & rules.keys()}:
        rules = {part: others for part, others in rules.items() if part not in leaves}
    assert not rules, f"import cycle among the parts {sorted(rules)}"


def test_the_files_that_the_page_names_exist() -> None:
    names = set(re.findall(r"`((?:[a-z0-9_]+/)+[a-z0-9_]+\.py)", PAGE.read_text("utf-8")))
    missing = [name for name in sorted(names) if not (PACKAGE / name).exists() and not (ROOT / name).exists()]
    assert names and not missing


@pytest.mark.parametrize("subsystem", ["membership", "durable", "recovery"])
def test_only_the_adapters_of_the_node_import_a_subsystem(subsystem: str) -> None:
    users = {
        path.stem
        for module, path in modules()
        for target, _ in imports(path)
        if part_of(module) == "net" and part_of(target) == subsystem
    }
    assert users <= SUBSYSTEM_ADAPTERS
