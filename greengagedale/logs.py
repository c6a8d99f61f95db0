"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logger

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(host: str, data_centre: str, level: str = "INFO") -> None:
    """Sends all logs of the process to standard error as JSON lines.

    Args:
        host: Name of the host, added to every line.
        data_centre: Data centre of the host, added to every line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"host": host, "data_centre": data_centre},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
