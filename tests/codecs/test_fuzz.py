"""Decoders of foreign bytes raise one kind of error, whatever the bytes are."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch import codecs
from carawayhitch.core import errors
from carawayhitch.core import settings as settings_types

KEYS = (settings_types.PeerKey(1, "k" * 32), settings_types.PeerKey(2, "l" * 32))
FIXED = settings(derandomize=True, max_examples=300, deadline=None)
PIECES = st.sampled_from(
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
    @FIXED
    @given(st.binary(max_size=200) | st.lists(PIECES).map(b"".join))
    def test_any_bytes_are_split_or_refused(self, data):
        """Guards against other errors and against bytes that are lost or invented."""
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

    @FIXED
    @given(st.lists(st.text(max_size=30), min_size=1, max_size=20), st.data())
    def test_any_division_into_reads_gives_the_same_events(self, texts, data):
        """Guards against events that depend on where the network divides them."""
        whole = b"".join(event(index + 5, text) for index, text in enumerate(texts))
        whole += b"id: %d\ndata: [DONE]\n\n" % (len(texts) + 5)
        cuts = data.draw(st.lists(st.integers(0, len(whole)), max_size=10))
        edges = [0, *sorted(cuts), len(whole)]
        pending, relayed, next_sequence, is_final = b"", b"", 5, False
        for start, end in zip(edges, edges[1:], strict=False):
            block, pending = codecs.split_events(pending + whole[start:end])
            if block is not None:
                self.assertEqual(block.first_sequence, next_sequence)
                next_sequence = block.last_sequence + 1
                relayed += block.data
                is_final = block.is_final
        self.assertEqual((relayed, pending, is_final), (whole, b"", True))

    @FIXED
    @given(st.permutations([1, 2, 3, 4]))
    def test_events_out_of_order_are_refused(self, order):
        """Guards against a gap or repetition between the ends of one block."""
        data = b"".join(event(sequence, "a") for sequence in order)
        if order == [1, 2, 3, 4]:
            self.assertEqual(codecs.split_events(data)[0].last_sequence, 4)
        else:
            self.assertRaises(errors.MalformedMessageError, codecs.split_events, data)

    def test_comments_and_data_after_the_end(self):
        """Guards against keep-alive comments that end a stream, and a double end."""
        final = b"id: 2\ndata: [DONE]\n\n"
        block, _ = codecs.split_events(b": ping\n\n" + event(1, "a") + b": x\n\n")
        self.assertEqual(block.data, event(1, "a"))
        self.assertIsNone(codecs.split_events(b": ping\n\n")[0])
        after = event(1, "a") + final + event(3, "b")
        self.assertRaises(errors.MalformedMessageError, codecs.split_events, after)
        endless = b"data: " + b"x" * 2_000_000
        self.assertRaises(errors.MalformedMessageError, codecs.split_events, endless)


class CallFuzzTest(unittest.TestCase):
    @FIXED
    @given(st.binary(max_size=200) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_any_body_is_decoded_or_refused(self, body):
        """Guards against an internal error for a caller's body."""
        try:
            codecs.decode_generation_target("/v1/completions", body)
        except errors.MalformedMessageError:
            return

    @FIXED
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
        """Guards against a body that is accepted and then fails on its way."""
        body = json.dumps(fields).encode()
        try:
            codecs.decode_generation_target("/v1/completions", body)
        except errors.MalformedMessageError:
            return
        sent = json.loads(codecs.encode_engine_request(body, 7))
        self.assertEqual(sent["priority"], 7)
        self.assertEqual(set(sent), set(fields) | {"priority"})

    @FIXED
    @given(
        st.binary(max_size=100).map(lambda raw: raw.decode(errors="surrogateescape"))
    )
    def test_any_header_is_decoded_or_refused(self, text):
        """Guards against headers of bytes that are not UTF-8."""
        self.assertEqual(len(codecs.bearer_token_sha256(f"Bearer {text}")), 64)
        try:
            codecs.parse_labels(text)
        except errors.MalformedMessageError:
            return

    @FIXED
    @given(st.binary(max_size=100), st.text(max_size=10))
    def test_any_engine_answer_is_decoded_or_refused(self, body, generation_id):
        """Guards against an internal error for an engine's answer."""
        try:
            codecs.decode_completion_token_count(body, generation_id)
        except errors.MalformedMessageError:
            return


class ResumeTokenFuzzTest(unittest.TestCase):
    token = codecs.ResumeToken("e", "127.0.0.1:1", "g-1", "hotel", "quotes", 100.0)

    @FIXED
    @given(st.text(max_size=200))
    def test_any_text_is_refused(self, text):
        """Guards against other errors for text that is no token."""
        with self.assertRaises(errors.MalformedMessageError):
            codecs.verify_resume_token(text, KEYS, 0.0)

    @FIXED
    @given(st.data())
    def test_any_changed_character_is_refused(self, data):
        """Guards against a token of another account or generation."""
        signed = codecs.sign_resume_token(self.token, KEYS)
        self.assertEqual(codecs.verify_resume_token(signed, KEYS, 99.0), self.token)
        index = data.draw(st.integers(0, len(signed) - 1))
        other = data.draw(st.sampled_from("ABCXYZabcxyz0189-_"))
        changed = signed[:index] + other + signed[index + 1 :]
        if changed != signed:
            with self.assertRaises(errors.MalformedMessageError):
                codecs.verify_resume_token(changed, KEYS, 99.0)

    def test_expired_and_other_keys(self):
        """Guards against tokens that outlive their time or a removed key."""
        signed = codecs.sign_resume_token(self.token, KEYS[1:])
        self.assertEqual(codecs.verify_resume_token(signed, KEYS, 99.0), self.token)
        for keys, time in ((KEYS, 100.0), (KEYS[:1], 99.0)):
            with self.assertRaises(errors.MalformedMessageError):
                codecs.verify_resume_token(signed, keys, time)
