"""Datagrams between entries: encoding, sizes, signatures, invalid data and replays."""

from __future__ import annotations

import unittest
from itertools import count
from typing import Literal, get_args, get_origin, get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch import codecs
from carawayhitch.codecs import _peer_messages
from carawayhitch.codecs._replay_windows import WINDOW_SIZE
from carawayhitch.core import errors, messages, result_codes, rows
from carawayhitch.core import settings as settings_types

OLD_KEY = settings_types.PeerKey(1, "first-secret-of-at-least-32-bytes!")
NEW_KEY = settings_types.PeerKey(2, "second-secret-of-at-least-32-bytes")
RECEIVER = codecs.PeerAddress("127.0.0.1", 9000)
OTHER_RECEIVER = codecs.PeerAddress("127.0.0.2", 9000)
NOW = 1000.0
MESSAGE_TYPES = get_args(messages.PeerMessage)

texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=24)
counts = st.integers(0, 2**32 - 1)
# Multiples of 1/8 are exact in the 32-bit floats that carry durations.
seconds = st.integers(-80_000, 80_000).map(lambda value: value / 8)
identifiers = st.one_of(texts, st.binary(max_size=16).map(bytes.hex))
strategies_by_field = {
    "request_id": identifiers,
    "fingerprint": identifiers,
    "deadline": seconds.map(lambda value: NOW + value),
    "queued_at": seconds.map(lambda value: NOW + value),
    # Zero means no goal deadline; a deadline at the current time has its own test.
    "goal_deadline": st.one_of(
        st.just(0.0), seconds.filter(bool).map(lambda value: NOW + value)
    ),
    "retry_after": seconds,
    "state_deadline": st.just(0.0),
    "priority": st.integers(-(2**31), 2**31 - 1),
    "code": st.sampled_from(list(result_codes.codes_by_number.values())),
    "state": st.sampled_from(get_args(rows.MemberState)),
    "sender_id": texts.filter(bool),
    "incarnation": st.integers(0, 2**64 - 1),
    "revision": st.integers(0, 2**64 - 1),
    "peer_port": st.integers(0, 65535),
    "http_port": st.integers(0, 65535),
    # Values beyond the range have their own test.
    "strength": st.integers(rows.MINIMUM_STRENGTH, rows.MAXIMUM_STRENGTH),
    "share": st.integers(0, 8).map(lambda value: value / 8),
    "calls_per_second": seconds.map(abs),
    "answers_per_second": seconds.map(abs),
    "busy_seconds": seconds.map(abs),
}


def records(record_type):
    hints = get_type_hints(record_type)
    fields = {}
    for name, annotation in hints.items():
        if name in strategies_by_field:
            fields[name] = strategies_by_field[name]
        elif get_origin(annotation) is Literal:
            fields[name] = st.sampled_from(get_args(annotation))
        elif hasattr(annotation, "__args__"):
            item = get_args(annotation)[0]
            items = identifiers if item is str else records(item)
            fields[name] = st.lists(items, max_size=4).map(tuple)
        else:
            fields[name] = {
                str: texts,
                int: counts,
                float: st.floats(min_value=0, allow_infinity=False),
                bool: st.booleans(),
            }[annotation]
    return st.builds(record_type, **fields)


any_message = st.one_of([records(message_type) for message_type in MESSAGE_TYPES])


def encode(message, key=OLD_KEY, sequence=1, destination=RECEIVER):
    return codecs.encode_message(message, 7, sequence, destination, key, NOW)


def decode(datagram, keys=(OLD_KEY,), destination=RECEIVER):
    return codecs.decode_message(datagram, destination, keys, NOW)


def pack(message):
    """Return a Cap'n Proto message in packed form, with all run lengths zero."""
    packed = bytearray()
    for start in range(0, len(message), 8):
        word = message[start : start + 8]
        packed.append(sum(1 << position for position, byte in enumerate(word) if byte))
        packed += bytes(byte for byte in word if byte)
        if all(word) or not any(word):
            packed.append(0)
    return bytes(packed)


def running(index):
    return messages.RunningRequest(
        f"request-{index:030}", 1, "g", "a", "r", "b", "f" * 64, "u", 10, 20, 5
    )


class RoundTripTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(any_message)
    def test_every_message_is_decoded_as_encoded(self, message):
        """Guards against fields that are lost or swapped between entries."""
        received = decode(encode(message))
        self.assertEqual(received.message, message)
        self.assertEqual((received.incarnation, received.sequence), (7, 1))

    def test_every_message_type_has_an_encoding(self):
        """Guards against a new message type that fails only when it is sent."""
        names = set(_peer_messages._types_by_wire_name.values())
        self.assertEqual(names, set(MESSAGE_TYPES))

    def test_deadlines_follow_the_receiver_clock(self):
        """Guards against deadlines of one VM's clock being used on another VM."""
        grant = messages.AdmissionGrant("n", "r", 1, "c", "u", "a", 0, NOW + 2.0)
        datagram = encode(grant)
        received = codecs.decode_message(datagram, RECEIVER, (OLD_KEY,), 50.0)
        self.assertEqual(received.message.deadline, 52.0)

    def test_strength_without_value_or_beyond_range(self):
        """Guards against a member row that no arithmetic on strengths expects."""
        for sent, expected in ((0, 1), (255, rows.MAXIMUM_STRENGTH)):
            row = rows.MemberRow("n", 1, "alive", "a", 1, 2, "z", "r", strength=sent)
            probe = messages.Probe("n", 1, (row,), ())
            self.assertEqual(
                decode(encode(probe)).message.members[0].strength, expected
            )
        # Earlier releases do not send the field.
        sent = _peer_messages._schema.Member.new_message(nodeId="n")
        self.assertEqual(sent.strength, rows.MINIMUM_STRENGTH)

    def test_goal_deadline_at_the_current_time_is_kept(self):
        """Guards against asks that lose goal deadline and rank when it is reached."""
        ask = messages.AdmissionAsk(
            "n", "r", 1, "c", "g", "a", "urgent", "b", "", 1, 1, (), (), NOW + 1.0, NOW
        )
        received = decode(encode(ask))
        self.assertAlmostEqual(received.message.goal_deadline, NOW, places=5)


class SizeTest(unittest.TestCase):
    def datagrams(self, message):
        next_sequence = count(1).__next__
        return codecs.encode_datagrams(
            message, 7, next_sequence, RECEIVER, OLD_KEY, NOW
        )

    def test_progress_is_split_without_loss(self):
        """Guards against fragmented datagrams and lost requests."""
        rows_sent = tuple(running(index) for index in range(200))
        waiting = tuple(f"waiting-{index:030}" for index in range(100))
        datagrams = self.datagrams(messages.Progress("n", "c", rows_sent, waiting))
        self.assertLessEqual(max(map(len, datagrams)), 1400)
        parts = [decode(datagram).message for datagram in datagrams]
        self.assertEqual(
            sorted(row for part in parts for row in part.running), sorted(rows_sent)
        )
        self.assertEqual(
            sorted(name for part in parts for name in part.waiting_request_ids),
            sorted(waiting),
        )

    def test_long_prefix_is_truncated(self):
        """Guards against a long prompt that makes the ask too large to send."""
        blocks = tuple(f"{index:064}" for index in range(500))
        ask = messages.AdmissionAsk(
            "n", "r", 1, "c", "g", "a", "r", "b", "f", 1, 1, blocks, (), NOW + 1.0
        )
        (datagram,) = self.datagrams(ask)
        self.assertLessEqual(len(datagram), 1400)
        kept = decode(datagram).message.prefix_blocks
        self.assertEqual(kept, blocks[: len(kept)])
        self.assertGreater(len(kept), 0)

    def test_member_list_of_a_probe_is_truncated(self):
        """Guards against probes that exceed a datagram because of long names."""
        member = rows.MemberRow("n" * 60, 1, "alive", "a", 1, 1, "z" * 60, "r" * 60)
        members = tuple(member._replace(http_port=port) for port in range(40))
        (datagram,) = self.datagrams(messages.Probe("n", 1, members, ()))
        self.assertLessEqual(len(datagram), 1400)
        kept = decode(datagram).message.members
        self.assertEqual(kept, members[: len(kept)])

    def test_oversized_message_that_cannot_be_split_is_rejected(self):
        """Guards against datagrams too large for a socket to send."""
        message = messages.AskWithdrawn("n", "r" * 20_000, 1, "c")
        with self.assertRaises(errors.MalformedMessageError):
            self.datagrams(message)


class InvalidDatagramTest(unittest.TestCase):
    PROBE = messages.Probe("node-1", 1, (), ())

    def assert_code(self, code, *arguments, **keywords):
        with self.assertRaises(errors.MalformedMessageError) as raised:
            decode(*arguments, **keywords)
        self.assertEqual(raised.exception.code, code)

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.binary(max_size=1500))
    def test_arbitrary_bytes_are_rejected(self, datagram):
        """Guards against any other exception reaching the event loop."""
        with self.assertRaises(errors.MalformedMessageError):
            decode(datagram)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(any_message, st.data())
    def test_datagram_with_a_flipped_bit_is_rejected_or_unchanged(self, message, data):
        """Guards against a message altered in transit being accepted."""
        datagram = bytearray(encode(message))
        position = data.draw(st.integers(0, len(datagram) - 1))
        datagram[position] ^= 1 << data.draw(st.integers(0, 7))
        try:
            self.assertEqual(decode(bytes(datagram)).message, message)
        except errors.MalformedMessageError:
            pass

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.one_of(st.binary(max_size=300), any_message.map(encode)), st.data())
    def test_signed_arbitrary_content_is_decoded_or_rejected(self, content, data):
        """Guards against a faulty peer that crashes others or exhausts their memory."""
        changed = bytearray(content)
        for _ in range(data.draw(st.integers(0, 4)) if changed else 0):
            changed[data.draw(st.integers(0, len(changed) - 1))] ^= data.draw(
                st.integers(1, 255)
            )
        self.decode_signed(bytes(changed))

    @settings(derandomize=True, max_examples=800, deadline=None)
    @given(any_message, st.data())
    def test_signed_content_with_flipped_bits(self, message, data):
        """Guards against corruption within a valid structure, such as list lengths."""
        envelope = _peer_messages._schema.Envelope.from_bytes(encode(message))
        with envelope as reader:
            changed = bytearray(reader.content)
        for _ in range(data.draw(st.integers(1, 3))):
            position = data.draw(st.integers(0, len(changed) - 1))
            changed[position] ^= 1 << data.draw(st.integers(0, 7))
        self.decode_signed(bytes(changed))

    def test_signed_member_row_with_any_flipped_bit(self):
        """Guards against unknown state numbers that terminate the receive handler."""
        row = rows.MemberRow("n", 1, "joining", "127.0.0.1", 1, 2, "a", "r")
        message = messages.IndirectProbe("n", 1, "m", (row,))
        encoded = encode(message)
        with _peer_messages._schema.Envelope.from_bytes(encoded) as reader:
            content = bytes(reader.content)
        for position in range(len(content)):
            for bit in range(8):
                changed = bytearray(content)
                changed[position] ^= 1 << bit
                self.decode_signed(bytes(changed))

    def test_content_of_several_segments_is_rejected(self):
        """Guards against a truncated second segment that terminates the process."""
        with _peer_messages._schema.Envelope.from_bytes(encode(self.PROBE)) as opened:
            content = _peer_messages._schema.Content.from_bytes_packed(opened.content)
        unpacked = content.as_builder().to_bytes()
        # The header announces a second segment of 16 words, which is missing.
        header = (1).to_bytes(4, "little") + unpacked[4:8]
        header += (16).to_bytes(4, "little") + bytes(4)
        self.assertIsNone(self.decode_signed(pack(header + unpacked[8:])))

    def test_signed_content_with_any_changed_byte(self):
        """Guards against invalid states, types or pointers terminating the process."""
        member = rows.MemberRow("node-1", 1, "joining", "a", 1, 1, "z", "r")
        row = rows.CrashRow("ab" * 8, ("engine-1",), False, NOW + 1.0)
        probe = messages.Probe("node-1", 1, (member, member), (row,))
        progress = messages.Progress("node-1", "c", (running(1),), ("ab" * 8,))
        for message in (probe, progress):
            with _peer_messages._schema.Envelope.from_bytes(encode(message)) as opened:
                packed = bytes(opened.content)
            content = _peer_messages._schema.Content.from_bytes_packed(packed)
            unpacked = content.as_builder().to_bytes()
            self.assertEqual(self.decode_signed(pack(unpacked)), message)
            for position in range(len(unpacked)):
                for value in (0, 1, 6, 127, 255):
                    changed = bytearray(unpacked)
                    changed[position] = value
                    self.decode_signed(pack(changed))

    def test_envelope_with_any_changed_byte(self):
        """Guards against unauthenticated datagrams that terminate the process."""
        datagram = encode(self.PROBE)
        for position in range(len(datagram)):
            for value in (0, 1, 6, 127, 255):
                changed = bytearray(datagram)
                changed[position] = value
                try:
                    decode(bytes(changed))
                except errors.MalformedMessageError:
                    pass

    def decode_signed(self, content):
        signature = _peer_messages._signature(OLD_KEY, RECEIVER, content)
        datagram = _peer_messages._schema.Envelope.new_message(
            keyId=OLD_KEY.id, signature=signature, content=content
        ).to_bytes()
        try:
            received = decode(datagram)
        except errors.MalformedMessageError:
            return None
        self.assertIsInstance(received.message, MESSAGE_TYPES)
        return received.message

    def test_signature_of_an_unknown_key_is_rejected(self):
        """Guards against messages from a deployment with other keys."""
        forged = OLD_KEY._replace(secret="x" * 40)
        code = result_codes.PEER_SIGNATURE_INVALID
        self.assert_code(code, encode(self.PROBE, forged))
        self.assert_code(code, encode(self.PROBE, NEW_KEY))

    def test_both_keys_of_a_rotation_are_valid(self):
        """Guards against a rotation that separates entries with the old and new key."""
        for key in (OLD_KEY, NEW_KEY):
            received = decode(encode(self.PROBE, key), (NEW_KEY, OLD_KEY))
            self.assertEqual(received.message, self.PROBE)

    def test_message_to_another_entry_is_rejected(self):
        """Guards against a recorded datagram being replayed to another entry."""
        code = result_codes.PEER_SIGNATURE_INVALID
        self.assert_code(code, encode(self.PROBE), destination=OTHER_RECEIVER)


class ReplayWindowTest(unittest.TestCase):
    def accepted(self, datagrams, now=NOW):
        window, results = None, []
        for incarnation, sequence in datagrams:
            advanced = codecs.advance_replay_window(window, incarnation, sequence, now)
            results.append(advanced is not None)
            window = advanced or window
        return results

    def test_replayed_and_reordered_datagrams(self):
        """Guards against accepted replays and rejected reordered or first datagrams."""
        beyond_window = WINDOW_SIZE + 10
        table = [
            ("in order", [(5, 1), (5, 2), (5, 3)], [True, True, True]),
            ("repeated", [(5, 1), (5, 1)], [True, False]),
            ("reordered", [(5, 3), (5, 1), (5, 2), (5, 1)], [True, True, True, False]),
            ("too old", [(5, beyond_window), (5, 1)], [True, False]),
            (
                "after a jump",
                [(5, 1), (5, beyond_window), (5, beyond_window)],
                [True, True, False],
            ),
            ("restarted", [(5, 900), (6, 1), (5, 901)], [True, True, False]),
        ]
        for name, datagrams, expected in table:
            with self.subTest(name):
                self.assertEqual(self.accepted(datagrams), expected)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, 2 * WINDOW_SIZE), max_size=60))
    def test_no_sequence_number_is_accepted_twice(self, sequences):
        """Guards against a window shift that loses received sequence numbers."""
        results = self.accepted([(1, sequence) for sequence in sequences])
        accepted = [value for value, new in zip(sequences, results, strict=True) if new]
        self.assertEqual(len(accepted), len(set(accepted)))

    def test_lower_incarnation_is_accepted_after_the_delay(self):
        """Guards against rejecting a replacement VM whose clock is behind."""
        window = codecs.advance_replay_window(None, 9, 1, NOW)
        self.assertIsNone(codecs.advance_replay_window(window, 8, 1, NOW + 59.0))
        self.assertIsNotNone(codecs.advance_replay_window(window, 8, 1, NOW + 61.0))
