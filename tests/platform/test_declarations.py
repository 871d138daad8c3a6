"""Numbers and addresses in configurations, registrations and load reports."""

from __future__ import annotations

import json
import unittest

import aiohttp
from aiohttp import test_utils, web

from carawayhitch.core import declarations, events
from carawayhitch.platform import decode_object, read_report

REGISTRATION = {
    "service": "model",
    "address": "10.1.0.7:8000",
    "zone": "a",
    "state": "ready",
    "slots": 24.5,
    "coldLeftMs": 0.5,
    "born": 1_700_000_000_000,
    "models": [],
}
ROUTE = {
    "name": "draft",
    "host": "shop.example",
    "pathPrefix": "/draft/",
    "kind": "streaming",
    "service": "model",
    "timeoutMs": 30000.5,
    "goalMs": 4000.25,
    "gapGoalMs": 180.5,
    "priority": 2.5,
    "maxAttempts": 2.9,
}
ENGINE = {
    "slots": 24.7,
    "kvCapacityTokens": 34326.5,
    "kvTokenBytes": 96256.5,
    "linkMbps": 14000.5,
    "moves": True,
    "stride": 4.0,
}
CONFIGURATION = {
    "version": 3.5,
    "routes": [ROUTE],
    "services": [{"name": "model", "engine": ENGINE}],
    "limits": {"headerBytes": 16000.5, "bodyBytes": 1e6, "idleTimeoutMs": 1500.5},
    "tenants": [{"name": "hotel", "apiKeys": ["key"], "priority": 1.5}],
}
REPORT = {
    "coldLeftMs": 740.5,
    "queued": 0.5,
    "active": 3.2,
    "kvUsed": 10.9,
    "kvTotal": 90000.1,
}


def decode(kind, spec, name="u1"):
    stored = events.StoredObject(kind, name, 7, json.dumps(spec).encode())
    return decode_object(stored, {"a": "r1"})


class ColdTimeTest(unittest.TestCase):
    def test_declared_rate_and_remaining_time(self):
        """Guards against cold servers that are sent any rate of requests."""
        service = {"name": "model", "warmupS": 1.5, "coldPerS": 22.5}
        for body, expected in (
            (service, (1.5, 22.5)),
            ({"name": "model"}, (0.0, 0.0)),
            ({**service, "warmupS": None, "coldPerS": None}, (0.0, 0.0)),
        ):
            spec = {**CONFIGURATION, "services": [body]}
            decoded = decode(declarations.DECLARATION_SET, spec, "main")
            group = decoded.declaration.declarations[1]
            found = (group.warm_up_seconds, group.cold_requests_per_second)
            self.assertEqual(found, expected)
        for value, expected in ((740.5, 0.7405), (0, 0.0), (-5, 0.0)):
            spec = {**REGISTRATION, "coldLeftMs": value}
            decoded = decode(declarations.UPSTREAM_REGISTRATION, spec)
            self.assertEqual(decoded.declaration.cold_left_seconds, expected)
            # Tells two registrations with the same time apart.
            self.assertEqual(decoded.declaration.version, decoded.version)


class FractionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against rejecting an object because a number in it is a fraction.

    Only the protocol's whole numbers, such as the start time, may be required to be
    whole.
    """

    headers: dict[str, str] = {}

    def test_configuration_may_contain_fractions(self):
        decoded = decode(declarations.DECLARATION_SET, CONFIGURATION, "main")
        self.assertEqual(decoded.problem, "")
        route, group, account, limits = decoded.declaration.declarations
        self.assertEqual((route.priority, route.attempt_limit), (2, 2))
        self.assertEqual(route.timeout_seconds, 30.0005)
        self.assertEqual((group.engine.slots, group.engine.memory_tokens), (24, 34326))
        self.assertEqual(account.priority, 1)
        self.assertEqual((limits.header_bytes, limits.body_bytes), (16000, 1_000_000))

    def test_registration_may_contain_fractions(self):
        decoded = decode(declarations.UPSTREAM_REGISTRATION, REGISTRATION)
        self.assertEqual(decoded.problem, "")
        self.assertEqual(decoded.declaration.running_limit, 24)

    async def test_load_report_may_contain_fractions(self):
        application = web.Application()
        application.router.add_get(
            "/carawayhitch/report", lambda request: self.answer()
        )
        server = test_utils.TestServer(application)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        async with aiohttp.ClientSession() as session:
            found = await read_report(
                session, "u1", f"{server.host}:{server.port}", 9.0
            )
        self.assertIsInstance(found, events.LoadReported)
        self.assertEqual((found.running_count, found.memory_used), (3, 10))
        # Values in the body are half a second old; the header is not.
        self.assertEqual(round(found.cold_until, 4), 9.2405)
        self.headers = {"Carawayhitch-Cold-Ms": "900.5"}
        async with aiohttp.ClientSession() as session:
            found = await read_report(
                session, "u1", f"{server.host}:{server.port}", 9.0
            )
        self.assertEqual(found.cold_until, 9.9005)

    async def answer(self):
        return web.json_response(REPORT, headers=self.headers)


class OddRegistrationTest(unittest.TestCase):
    def test_values_out_of_range_are_refused_without_an_exception(self):
        """Guards against an entry that ends or stops reading at an odd registration.

        Each value here once left the decoder, or the code that uses the registration,
        with an exception other than the ones that decoding handles.
        """
        cases = {
            "port too large": {"address": "10.1.0.7:70000"},
            "port 0": {"address": "10.1.0.7:0"},
            "negative port": {"address": "10.1.0.7:-1"},
            "port of 5,000 digits": {"address": "10.1.0.7:" + "9" * 5000},
            "port in other digits": {"address": "10.1.0.7:٨٠٨٠"},
            "host name": {"address": "localhost:80"},
            "address of five parts": {"address": "10.1.0.7.1:80"},
            "address part too large": {"address": "10.1.0.700:80"},
            "empty address part": {"address": "10..0.700:80"},
            "address and more": {"address": "10.1.0.7:80\r\nX: 1"},
            "unknown state": {"state": "resting"},
            "start time too large": {"born": 10**30},
            "negative start time": {"born": -1},
            "start time is a fraction": {"born": 1.5},
            "negative slots": {"slots": -1},
            "too many slots": {"slots": 1e300},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                decoded = decode(
                    declarations.UPSTREAM_REGISTRATION, {**REGISTRATION, **changes}
                )
                self.assertIsNone(decoded.declaration)
                self.assertTrue(decoded.problem)

    def test_id_that_cannot_be_sent_in_a_header_is_refused(self):
        """Guards against calls that fail because an id splits the request's headers."""
        for name in ("", "u1\r\nX: 1", "ü", "u" * 300):
            with self.subTest(name[:10]):
                decoded = decode(declarations.UPSTREAM_REGISTRATION, REGISTRATION, name)
                self.assertIsNone(decoded.declaration)

    def test_odd_registration_of_an_entry_is_refused(self):
        """Guards against an odd entry registration that stops the watch of entries.

        Its decoding error was not handled, so the call that renews the watch was never
        made.
        """
        good = {
            "address": "10.1.0.19",
            "peer_port": 7200,
            "http_port": 7200,
            "zone": "a",
            "region": "r1",
        }
        cases = {
            "no address": {"address": None},
            "not an IP address": {"address": "entry-1"},
            "peer port too large": {"peer_port": 99999},
            "peer port of 30 digits": {"peer_port": 10**30},
            "negative HTTP port": {"http_port": -1},
        }
        kind = declarations.ENTRY_REGISTRATION
        self.assertIsNotNone(decode(kind, good).declaration)
        for name, changes in cases.items():
            with self.subTest(name):
                decoded = decode(kind, {**good, **changes})
                self.assertIsNone(decoded.declaration)
                self.assertTrue(decoded.problem)


if __name__ == "__main__":
    unittest.main()
