"""Odd items in the object store's lists and in the list of VMs."""

from __future__ import annotations

import json
import unittest

from carawayhitch import codecs

DEEP_VALUE = b"[" * 3000 + b"]" * 3000
GOOD_OBJECT = {"kind": "binding", "name": "good", "version": 3, "value": "e30="}
GOOD_VM = {
    "id": "good",
    "address": "10.1.0.7:8000",
    "zone": "a",
    "region": "r1",
    "kind": "engine",
}


def list_of(name: str, *items: bytes) -> bytes:
    return b'{"%b":[%b],"revision":7}' % (name.encode(), b",".join(items))


class OddItemsTest(unittest.TestCase):
    def test_odd_object_does_not_hide_the_others(self):
        """Guards against a list that one odd object makes unreadable."""
        good = json.dumps(GOOD_OBJECT).encode()
        cases = {
            "deep": DEEP_VALUE,
            "deep member": good.replace(b'"binding"', DEEP_VALUE),
            "large number": good.replace(b"3", b"1e400"),
            "version out of range": good.replace(b"3", b"1" + b"0" * 30),
            "value that is not base64": good.replace(b"e30=", b"?"),
            "nothing": b"null",
            "no JSON": b"{a}",
        }
        for name, odd in cases.items():
            with self.subTest(name):
                listed = codecs.decode_object_list(list_of("objects", odd, good))
                self.assertEqual([item.name for item in listed.objects], ["good"])
                self.assertEqual((listed.revision, listed.unreadable_count), (7, 1))

    def test_odd_vm_does_not_hide_the_others(self):
        """Guards against a VM list that is not followed because of one odd VM."""
        good = json.dumps(GOOD_VM).encode()
        cases = {
            "deep": DEEP_VALUE,
            "port too large": good.replace(b"8000", b"80000"),
            "port of 5,000 digits": good.replace(b"8000", b"9" * 5000),
            "no port": good.replace(b":8000", b""),
            "unknown kind": good.replace(b"engine", b"other"),
            "nothing": b"null",
        }
        for name, odd in cases.items():
            with self.subTest(name):
                listed = codecs.decode_vm_list(list_of("vms", odd, good))
                self.assertEqual([vm.vm_id for vm in listed.vms], ["good"])
                self.assertEqual(listed.unreadable_count, 1)


if __name__ == "__main__":
    unittest.main()
