"""The RESP reader: values are the same whatever the segmentation, and invalid framing is an error."""

from __future__ import annotations

import hiredis
import pytest

from saffrongw.resp import LINE_BYTES_MAX, Reader

VALUES_MAX = 1024


def read(chunks) -> tuple[list, bool]:
    """Return the values parsed from these chunks, and whether a protocol error was raised."""
    reader, values = Reader(100, VALUES_MAX), []
    try:
        for chunk in chunks:
            reader.feed(chunk)
            while (value := reader.gets()) is not False:
                values.append(value)
    except hiredis.ProtocolError:
        return values, True
    return values, False


GOOD = hiredis.pack_command((b"A", b"*999999999\r\n$1\r\n", b"")) + b"*2\r\n$-1\r\n*1\r\n:7\r\n+ok\r\n"
VALUES = [[b"A", b"*999999999\r\n$1\r\n", b""], [None, [7]], b"ok"]


def test_values_are_parsed_whatever_the_segmentation():
    for cut in range(len(GOOD) + 1):
        assert read([GOOD[:cut], GOOD[cut:]]) == (VALUES, False)
    assert read(GOOD[i : i + 1] for i in range(len(GOOD))) == (VALUES, False)


def test_at_boundary_is_true_exactly_after_a_complete_value():
    reader = Reader(100, VALUES_MAX)
    ends = [
        i for i in range(len(GOOD)) if (reader.feed(GOOD[i : i + 1]), reader.gets(), reader.at_boundary)[2]
    ]
    command = len(hiredis.pack_command((b"A", b"*999999999\r\n$1\r\n", b"")))
    assert ends == [command - 1, len(GOOD) - len(b"+ok\r\n") - 1, len(GOOD) - 1]


@pytest.mark.parametrize(
    "bad",
    [
        b"*%d\r\n" % (VALUES_MAX + 1),
        b"*1\r\n*%d\r\n" % 2**31,
        b"*-2\r\n",
        b"$101\r\n",
        b"$x\r\n",
        b"$10\n",
        b"$4\r\nabcdef",
        b"$4\r\nabcd\n\r",
        b"$4\r\nabcd\rx",
        b"$0\r\n\n\n",
        b"$4\r\nabc\r\n*1\r\n",
        b"%1\r\n",
        b"PING\r\n",
        b"+" + b"x" * LINE_BYTES_MAX,
    ],
)
def test_an_error_is_raised_after_all_values_before_it_were_read(bad):
    assert read([GOOD + bad]) == (VALUES, True)
    assert read([GOOD, *(bad[i : i + 1] for i in range(len(bad)))]) == (VALUES, True)
