"""Lookup of the handlers of an event type."""

from __future__ import annotations

import unittest

from carawayhitch import controllers
from carawayhitch.controllers._controller import has_handler
from carawayhitch.core import events, messages


class HandlerLookupTest(unittest.TestCase):
    def test_registry_names_the_handlers_that_dispatch_finds(self):
        """Guards against a handler registered for a base class, which is not found."""
        types = {
            value
            for module in (events, messages)
            for value in vars(module).values()
            if isinstance(value, type) and issubclass(value, tuple)
        }
        self.assertGreater(len(types), 50)
        for controller in controllers.CONTROLLERS:
            for event_type in types:
                found = controller.dispatch(event_type)
                with self.subTest(event_type.__name__):
                    self.assertEqual(
                        has_handler(controller, event_type),
                        found is not controller.dispatch(object),
                    )


if __name__ == "__main__":
    unittest.main()
