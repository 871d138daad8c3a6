"""Checks of the settings that govern when calls leave their zone."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from carawayhitch import codecs
from carawayhitch.core import errors

HEAD = """
[node]
id = "entry-1"
zone = "a"
region = "r1"
[peers]
keys = [{id = 1, secret = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"}]
[store]
url = "http://127.0.0.1:1"
[platform]
"""


def read(section, store=""):
    """Return the settings of a file with a section and further lines on the store."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.toml"
        path.write_text(HEAD.replace("[platform]", f"{store}[platform]") + section)
        return codecs.read_settings(str(path))


class LocalitySettingsTest(unittest.TestCase):
    def test_feature_is_off_without_a_section(self):
        # Guards against an effect on deployments that do not ask for the feature.
        self.assertFalse(read("").locality.enabled)

    def test_prices_below_zero_are_refused_by_name(self):
        # A negative price would prefer other zones.
        for name in ("round_trip_seconds", "seconds_per_megabyte", "call_bytes"):
            with self.subTest(name):
                with self.assertRaisesRegex(errors.InvalidValueError, name):
                    read(f"[locality]\n{name} = -1.0")

    def test_window_of_zero_is_refused(self):
        with self.assertRaisesRegex(errors.InvalidValueError, "rate_window_seconds"):
            read("[locality]\nrate_window_seconds = 0.0")


if __name__ == "__main__":
    unittest.main()
