#!/usr/bin/env python3
"""Checks that every test named in docs/PROOFS.md exists: check_proofs.py PAGE BIN_DIR.

The column "test" of each table holds entries of the form `module: Suite.Name`, where
BIN_DIR/MODULE_test is the test program.
"""
import re
import subprocess
import sys

ENTRY = re.compile(r"([a-z_]+): ([A-Za-z]\w*(?:/\w+)*\.\w+(?:/\w+)*)")


def cells_of(line):
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def named_tests(page):
    """Returns (entries, errors): pairs of module and test, and rows without an entry."""
    entries, errors, column = [], [], None
    for number, line in enumerate(page.splitlines(), 1):
        if not line.lstrip().startswith("|"):
            column = None
            continue
        cells = cells_of(line)
        if column is None:
            column = cells.index("test") if "test" in cells else -1
            continue
        if column < 0 or set("".join(cells)) <= set("-: "):
            continue
        found = ENTRY.findall(cells[column]) if column < len(cells) else []
        if not found:
            errors.append(f"line {number}: no test of the form `module: Suite.Name`")
        entries += found
    return entries, errors


def tests_in(listing):
    """Names in the output of --gtest_list_tests."""
    names, suite = set(), ""
    for line in listing.splitlines():
        name = line.split("#")[0].rstrip()
        if line.startswith(" "):
            names.add(suite + name.strip())
        elif name.endswith("."):
            suite = name
    return names


def missing_tests(entries, listing_of):
    listings, missing = {}, []
    for module, test in entries:
        if module not in listings:
            listings[module] = tests_in(listing_of(module))
        if test not in listings[module]:
            missing.append(f"{module}: {test} does not exist")
    return missing


def main():
    page, bin_directory = sys.argv[1:]
    with open(page, encoding="utf-8") as file:
        entries, errors = named_tests(file.read())
    if not entries:
        errors.append("the page names no test")

    def listing_of(module):
        command = [f"{bin_directory}/{module}_test", "--gtest_list_tests"]
        try:
            return subprocess.run(command, capture_output=True, text=True, check=True).stdout
        except (OSError, subprocess.CalledProcessError) as error:
            errors.append(f"{module}: {error}")
            return ""

    errors += missing_tests(entries, listing_of)
    for error in errors:
        print(f"{page}: {error}")
    print(f"{len(entries)} tests named, {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
