"""Fuzz tests: decoders of untrusted bytes raise no error but MalformedMessageError."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch import codecs
from carawayhitch.core import errors
from carawayhitch.core import settings as settings_types

KEYS = (settings_types.PeerKey(1, "k" * 32), settings_types.PeerKey(2, "l" * 32))
FUZZ_SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)
STREAM_FRAGMENTS = st.sampled_from(
    [b"id: 1\n", b"id: 2\n", b"data: x\n", b"data: [DONE]\n", b"\n", b"\n\n", b": c\n"]
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda values: st.lists(values) | st.dictionaries(st.text(max_size=9), values),
    max_leaves=20,
)


def event(sequence: int, text: str) -> bytes:
    return f"id: {sequence}\ndata: {json.dumps(text)}\n\n".encode()


class EventStreamFuzzTest(unittest.TestCase):
    @FUZZ_SETTINGS
    @given(st.binary(max_size=200) | st.lists(STREAM_FRAGMENTS).map(b"".join))
    def test_arbitrary_bytes_are_split_or_rejected(self, data):
        """Guards against other errors and against lost or added bytes."""
        try:
            block, rest = codecs.split_events(data)
        except errors.MalformedMessageError:
            return
        if block is None:
            self.assertTrue(data.endswith(rest))
            return
        self.assertTrue(data.endswith(rest))
        count = block.last_sequence - block.first_sequence + 1
        self.assertEqual(block.data.count(b"\n\n"), count)

    @FUZZ_SETTINGS
    @given(st.lists(st.text(max_size=30), min_size=1, max_size=20), st.data())
    def test_events_do_not_depend_on_read_boundaries(self, texts, data):
        """Guards against events that change with the size of network reads."""
        stream = b"".join(event(index + 5, text) for index, text in enumerate(texts))
        stream += b"id: %d\ndata: [DONE]\n\n" % (len(texts) + 5)
        offsets = data.draw(st.lists(st.integers(0, len(stream)), max_size=10))
        boundaries = [0, *sorted(offsets), len(stream)]
        pending, relayed, next_sequence, is_final = b"", b"", 5, False
        for start, end in zip(boundaries, boundaries[1:], strict=False):
            block, pending = codecs.split_events(pending + stream[start:end])
            if block is not None:
                self.assertEqual(block.first_sequence, next_sequence)
                next_sequence = block.last_sequence + 1
                relayed += block.data
                is_final = block.is_final
        self.assertEqual((relayed, pending, is_final), (stream, b"", True))

    @FUZZ_SETTINGS
    @given(st.permutations([1, 2, 3, 4]))
    def test_events_out_of_order_are_rejected(self, order):
        """Guards against a gap or duplicate within one block."""
        data = b"".join(event(sequence, "a") for sequence in order)
        if order == [1, 2, 3, 4]:
            self.assertEqual(codecs.split_events(data)[0].last_sequence, 4)
        else:
            self.assertRaises(errors.MalformedMessageError, codecs.split_events, data)

    def test_comments_and_data_after_the_final_event(self):
        """Guards against streams ended by comments, and data after the final event."""
        final = b"id: 2\ndata: [DONE]\n\n"
        block, _ = codecs.split_events(b": ping\n\n" + event(1, "a") + b": x\n\n")
        self.assertEqual(block.data, event(1, "a"))
        self.assertIsNone(codecs.split_events(b": ping\n\n")[0])
        after = event(1, "a") + final + event(3, "b")
        self.assertRaises(errors.MalformedMessageError, codecs.split_events, after)
        too_long = b"data: " + b"x" * 2_000_000
        self.assertRaises(errors.MalformedMessageError, codecs.split_events, too_long)


class RequestFuzzTest(unittest.TestCase):
    @FUZZ_SETTINGS
    @given(st.binary(max_size=200) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_arbitrary_body_is_decoded_or_rejected(self, body):
        """Guards against an internal error caused by a request body."""
        try:
            codecs.decode_generation_target("/v1/completions", body)
        except errors.MalformedMessageError:
            return

    @FUZZ_SETTINGS
    @given(
        st.dictionaries(
            st.sampled_from(
                [
                    "model",
                    "prompt",
                    "messages",
                    "stream",
                    "max_tokens",
                    "priority",
                    "other",
                ]
            ),
            JSON_VALUES,
        )
    )
    def test_accepted_body_can_be_sent_to_an_engine(self, fields):
        """Guards against an accepted body that cannot be encoded for an engine."""
        body = json.dumps(fields).encode()
        try:
            codecs.decode_generation_target("/v1/completions", body)
        except errors.MalformedMessageError:
            return
        sent = json.loads(codecs.encode_engine_request(body, 7))
        self.assertEqual(sent["priority"], 7)
        self.assertEqual(set(sent), set(fields) | {"priority"})

    @FUZZ_SETTINGS
    @given(
        st.binary(max_size=100).map(lambda raw: raw.decode(errors="surrogateescape"))
    )
    def test_arbitrary_header_is_decoded_or_rejected(self, text):
        """Guards against an internal error caused by headers that are not UTF-8."""
        self.assertEqual(len(codecs.bearer_token_sha256(f"Bearer {text}")), 64)
        try:
            codecs.parse_labels(text)
        except errors.MalformedMessageError:
            return

    @FUZZ_SETTINGS
    @given(st.binary(max_size=100), st.text(max_size=10))
    def test_arbitrary_engine_response_is_decoded_or_rejected(
        self, body, generation_id
    ):
        """Guards against an internal error caused by an engine response."""
        try:
            codecs.decode_completion_token_count(body, generation_id)
        except errors.MalformedMessageError:
            return


class ResumeTokenFuzzTest(unittest.TestCase):
    token = codecs.ResumeToken("e", "127.0.0.1:1", "g-1", "hotel", "quotes", 100.0)

    @FUZZ_SETTINGS
    @given(st.text(max_size=200))
    def test_arbitrary_text_is_rejected(self, text):
        """Guards against other errors for text that is not a token."""
        with self.assertRaises(errors.MalformedMessageError):
            codecs.verify_resume_token(text, KEYS, 0.0)

    @FUZZ_SETTINGS
    @given(st.data())
    def test_token_with_a_changed_character_is_rejected(self, data):
        """Guards against a token altered to name another account or generation."""
        signed = codecs.sign_resume_token(self.token, KEYS)
        self.assertEqual(codecs.verify_resume_token(signed, KEYS, 99.0), self.token)
        index = data.draw(st.integers(0, len(signed) - 1))
        other = data.draw(st.sampled_from("ABCXYZabcxyz0189-_"))
        changed = signed[:index] + other + signed[index + 1 :]
        if changed != signed:
            with self.assertRaises(errors.MalformedMessageError):
                codecs.verify_resume_token(changed, KEYS, 99.0)

    def test_expired_token_and_removed_key_are_rejected(self):
        """Guards against tokens that stay valid past expiry or after key removal."""
        signed = codecs.sign_resume_token(self.token, KEYS[1:])
        self.assertEqual(codecs.verify_resume_token(signed, KEYS, 99.0), self.token)
        for keys, time in ((KEYS, 100.0), (KEYS[:1], 99.0)):
            with self.assertRaises(errors.MalformedMessageError):
                codecs.verify_resume_token(signed, keys, time)
