"""Runs an entry host with one safety mechanism disabled.

Usage: mutants.py MUTATION serve --settings FILE. The proofs use it to verify
that each check fails without the mechanism that it tests.
"""

import sys

from greengagedale import __main__ as command_line
from greengagedale import action_dispatch
from greengagedale import graceful_shutdown
from greengagedale import outcomes
from greengagedale.idempotency import key_table
from greengagedale.membership import drains
from greengagedale.query import coverage
from greengagedale.query import echoes
from greengagedale.store import base as store_base
from greengagedale.store import http as store_http


def accept_any_echo():
    """Merges answers of other snapshots and attempts."""
    echoes.first_mismatch = lambda expected, got: None


def claim_full_coverage():
    """Reports full coverage, whatever is missing."""
    coverage.compute_coverage = lambda pinned, merged, reasons: (
        coverage.Coverage(pinned.total_width, pinned.total_width, ())
    )


def call_lost_replies_not_run():
    """Reports a request with a lost answer as not run."""
    outcomes.from_failures = lambda failures, reason, retry_after_ms: (
        outcomes.NotRun(reason, retry_after_ms)
    )


def send_again():
    """Sends an action with a lost answer to another replica."""
    outcomes.is_safe_to_resend = lambda failures: True
    assert action_dispatch.outcomes is outcomes


def forget_keys():
    """Lets a request with a used idempotency key run again."""
    key_table.KeyTable.look_up = lambda self, scoped_key, digest: None


def ignore_drains():
    """Sends new work to leaving upstreams."""
    drains.DrainTracker.is_leaving = lambda self, upstream: False


def leave_at_once():
    """Ends the host on SIGTERM without waiting for callers."""

    async def wait_for_callers(self):
        graceful_shutdown._exit_immediately("mutation")

    graceful_shutdown.GracefulShutdown.wait_for_callers = wait_for_callers


def ignore_conflicts():
    """Treats a write that the store refused as a conflict as successful."""
    write_result = store_http._write_result

    def without_conflicts(response):
        result = write_result(response)
        refused = isinstance(result, store_base.Conflict)
        return store_base.Written(0) if refused else result

    store_http._write_result = without_conflicts


MUTATIONS = {
    mutation.__name__: mutation
    for mutation in (
        accept_any_echo,
        call_lost_replies_not_run,
        claim_full_coverage,
        forget_keys,
        ignore_conflicts,
        ignore_drains,
        leave_at_once,
        send_again,
    )
}


if __name__ == "__main__":
    MUTATIONS[sys.argv.pop(1)]()
    command_line.main()
