"""Work of a client connection for each part of a body that is read."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from carawayhitch.backends import _sessions


class ResumeReadingTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_paused_connection_parses_again(self):
        """Guards against a second pass of the parser for each event of a stream."""
        handler = _sessions.StrictResponseHandler(asyncio.get_running_loop())
        handler.connection_made(mock.Mock(spec=asyncio.Transport))
        handler.set_response_params()
        handler._parser = mock.Mock()
        with mock.patch.object(handler, "data_received") as parse:
            handler.resume_reading()
            parse.assert_not_called()
            handler.pause_reading()
            handler.resume_reading()
            parse.assert_called_once_with(b"")


if __name__ == "__main__":
    unittest.main()
