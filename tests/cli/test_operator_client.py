"""Errors of the client of the admin interface."""

from __future__ import annotations

import socket
import tempfile
import threading
import unittest
from pathlib import Path

from carawayhitch.cli import _operator_client
from carawayhitch.core import errors

SECRET = "operators-secret"


class OperatorClientTest(unittest.TestCase):
    def test_token_that_no_header_can_hold_is_not_shown(self):
        """Guards against an error message that quotes the operators' token."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "token"
            for text in (f"{SECRET}\nsecond", f"{SECRET}\x00", f"{SECRET}\u00e9"):
                path.write_text(text, encoding="utf-8")
                with (
                    self.subTest(text),
                    self.assertRaises(errors.InvalidValueError) as caught,
                ):
                    _operator_client.read_admin_token(str(path))
                self.assertNotIn(SECRET, str(caught.exception))

    def test_refusal_that_breaks_off_has_a_result_code(self):
        """Guards against a traceback of the HTTP library."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def refuse():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(b"HTTP/1.1 403 No\r\nContent-Length: 90\r\n\r\n{")

        threading.Thread(target=refuse, daemon=True).start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        with self.assertRaises(errors.StoreError):
            _operator_client.read_status(_operator_client.Entry(url, SECRET))


if __name__ == "__main__":
    unittest.main()
