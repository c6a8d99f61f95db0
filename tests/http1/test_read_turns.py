"""Turns of connections whose clients send without pause."""

import pytest

from greengagedale.http1 import read_turns


class ManualTimer:
    """Runs functions when told to, and keeps the delays asked for."""

    def __init__(self):
        self.delays_s = []
        self._callbacks = []

    def call_later(self, delay_s, callback):
        self.delays_s.append(delay_s)
        self._callbacks.append(callback)

    def fire(self):
        self._callbacks.pop(0)()

    def __len__(self):
        return len(self._callbacks)


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def read():
    return []


@pytest.fixture
def turns(timer, read):
    return read_turns.ReadTurns(timer.call_later, read.append)


def test_connections_read_one_at_a_time_in_the_order_they_came(
    turns, timer, read
):
    for name in "abc":
        turns.wait(name, 0.0)
    assert read == []
    assert len(timer) == 1
    timer.fire()
    assert read == ["a"]
    turns.wait("a", 0.0)
    for _ in range(3):
        timer.fire()
    assert read == ["a", "b", "c", "a"]


# With 100 clients that each take 5 ms to read, the next turn comes 5 ms after
# the last one: half of the time is left for all other work.
def test_turns_take_at_most_half_of_the_time(turns, timer, read):
    turns.wait(0, 5.0)
    for number in range(1, 100):
        timer.fire()
        turns.wait(number, 5.0)
    assert len(read) == 99
    assert timer.delays_s == [0.005] * 100


def test_connection_that_leaves_gets_no_turn(turns, timer, read):
    turns.wait("a", 0.0)
    turns.wait("b", 0.0)
    turns.leave("a")
    turns.leave("never there")
    timer.fire()
    assert read == ["b"]
    assert len(timer) == 0
    assert len(turns) == 0


def test_turns_go_on_after_all_have_left(turns, timer, read):
    turns.wait("a", 1.0)
    turns.leave("a")
    timer.fire()
    turns.wait("b", 2.0)
    timer.fire()
    assert read == ["b"]
    assert timer.delays_s == [0.001, 0.002]
