"""Tests of the tracking of updates whose result is unknown."""

from greengagedale.catalog import conditional_updates


def test_pending_update_is_void_once_a_newer_version_was_read():
    sent_updates = conditional_updates.ConditionalUpdates(first_attempt=True)
    assert sent_updates.may_report_not_accepted()
    sent_updates.record_sent(7)
    for version in (6, 7):
        sent_updates.record_absent(version)
        assert not sent_updates.may_report_not_accepted()
    sent_updates.record_sent(8)
    sent_updates.record_absent(8)
    assert sent_updates.has_pending
    sent_updates.record_absent(9)
    assert sent_updates.may_report_not_accepted()


def test_resent_change_may_have_a_pending_update_of_an_earlier_call():
    sent_updates = conditional_updates.ConditionalUpdates(first_attempt=False)
    sent_updates.record_absent(9)
    assert not sent_updates.may_report_not_accepted()
