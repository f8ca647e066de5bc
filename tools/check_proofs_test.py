#!/usr/bin/env python3
"""Tests of check_proofs.py."""
import unittest

import check_proofs

PAGE = """
| claim | test |
|---|---|
| one | `kv: Store.Keeps`, `gate: Gate.Refuses/0` |
| two | by hand |

| other | table |
|---|---|
| x | y |
"""
LISTING = """Running main() from gtest_main.cc
Store.
  Keeps
  Loses  # GetParam() = 3
"""


class CheckProofsTest(unittest.TestCase):
    def test_finds_entries_and_rows_without_one(self):
        """Guards against a row whose claim no test supports."""
        entries, errors = check_proofs.named_tests(PAGE)
        self.assertEqual(entries, [("kv", "Store.Keeps"), ("gate", "Gate.Refuses/0")])
        self.assertEqual(errors, ["line 5: no test of the form `module: Suite.Name`"])

    def test_reports_a_test_that_does_not_exist(self):
        """Guards against a page that names a renamed or deleted test."""
        self.assertEqual(check_proofs.tests_in(LISTING), {"Store.Keeps", "Store.Loses"})
        missing = check_proofs.missing_tests(
            [("kv", "Store.Keeps"), ("kv", "Store.Gone")], lambda module: LISTING
        )
        self.assertEqual(missing, ["kv: Store.Gone does not exist"])


if __name__ == "__main__":
    unittest.main()
