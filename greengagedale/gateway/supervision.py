"""Restarts background tasks after unexpected errors."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

log = logging.getLogger(__name__)

# Delay before a failed task is restarted.
RESTART_DELAY_S = 0.1
# A task that fails more often than this, without a run of the stable length in
# between, is not expected to recover by itself.
MAX_CONSECUTIVE_FAILURES = 5
STABLE_RUN_S = 10.0


async def supervise(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a task forever and restarts it when it fails.

    A single message that can't be processed ends neither the task nor the
    process.

    Raises:
        Exception: The last error of the task, if it keeps failing.
    """
    loop = asyncio.get_running_loop()
    failures = 0
    while True:
        started_s = loop.time()
        try:
            await work()
        except Exception:
            is_stable = loop.time() - started_s >= STABLE_RUN_S
            failures = 1 if is_stable else failures + 1
            if failures > MAX_CONSECUTIVE_FAILURES:
                raise
            log.exception(
                "background task failed; restarting it",
                extra={"work": work.__qualname__, "failures": failures},
            )
        await asyncio.sleep(RESTART_DELAY_S)
