"""Keeps background work going past unexpected errors."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

log = logging.getLogger(__name__)

# Pause before work that failed begins anew.
RESTART_PAUSE_S = 0.1
# Work that fails so often without a run of this length in between will not
# recover by itself.
MOST_FAILURES = 5
STEADY_RUN_S = 10.0


async def supervise(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs work for good; begins it anew when it fails.

    One message that can't be taken in ends neither the work nor the process.

    Raises:
        Exception: What the work raised, if it keeps failing.
    """
    loop = asyncio.get_running_loop()
    failures = 0
    while True:
        began_s = loop.time()
        try:
            await work()
        except Exception:
            steady = loop.time() - began_s >= STEADY_RUN_S
            failures = 1 if steady else failures + 1
            if failures > MOST_FAILURES:
                raise
            log.exception(
                "background work begins anew",
                extra={"work": work.__qualname__, "failures": failures},
            )
        await asyncio.sleep(RESTART_PAUSE_S)
