"""Checks of the settings that govern the reads of the store."""

from __future__ import annotations

import unittest

from carawayhitch.core import errors
from tests.codecs.test_locality_settings import read


class StoreSettingsTest(unittest.TestCase):
    def test_long_watches_need_a_relaxed_scope(self):
        """Guards against a setting that silently has no effect."""
        relaxed = 'scopes = ["a", "b"]\nrelaxed_scopes = ["b"]\n'
        long = "relaxed_watch_seconds = 20.0\n"
        self.assertEqual(read("", relaxed + long).store.relaxed_watch_seconds, 20.0)
        with self.assertRaisesRegex(errors.InvalidValueError, "relaxed_scopes"):
            read("", long)


if __name__ == "__main__":
    unittest.main()
