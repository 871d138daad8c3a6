"""Number of client connections of an entry."""

from __future__ import annotations

import unittest

from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._protocol import connection_limit


class ConnectionLimitTest(unittest.TestCase):
    def test_limit_leaves_descriptors_for_files_and_upstreams(self):
        """Guards against clients that take the descriptors of other connections."""
        for descriptors, connections, expected in (
            (1535, 4096, 1001),
            (8192, 4096, 4096),
            (1535, 40, 40),
            (100, 4096, 8),
        ):
            limits = settings_types.LimitSettings(
                connections=connections, descriptors=descriptors
            )
            with self.subTest(descriptors=descriptors):
                self.assertEqual(connection_limit(limits), expected)


if __name__ == "__main__":
    unittest.main()
