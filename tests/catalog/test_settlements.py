"""What may be said after writes without a clear result."""

from greengagedale.catalog import settlements


def test_open_write_is_void_only_once_a_newer_version_is_read():
    settlement = settlements.Settlement(first_attempt=True)
    assert settlement.may_give_up()
    settlement.sent(7)
    for version in (6, 7):
        settlement.read_without(version)
        assert not settlement.may_give_up()
    settlement.sent(8)
    settlement.read_without(8)
    assert settlement.open
    settlement.read_without(9)
    assert settlement.may_give_up()


def test_resent_change_may_have_a_write_that_another_call_left_open():
    settlement = settlements.Settlement(first_attempt=False)
    settlement.read_without(9)
    assert not settlement.may_give_up()
