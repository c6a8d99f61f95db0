"""A store with an entry of another writer that can't be read."""

from typing import NamedTuple

from greengagedale.http1 import messages
from standins import gateway_store

_MARK = "<value>"


class ForeignValue(NamedTuple):
    """A value in the entry of another writer.

    Attributes:
        field: The field that has it.
        value: Its bytes in the answers of the store.
        service: The service that the entry names.
    """

    field: str
    value: bytes
    service: str = "s1"


class StoreWithForeignEntry(gateway_store.GatewayStore):
    """The stand-in of the store, with one value in answers as it was written.

    Attributes:
        foreign: The value.
    """

    def __init__(self, foreign: ForeignValue) -> None:
        super().__init__()
        self.foreign = foreign

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a call."""
        response = await super().handle(request)
        mark = f'"{_MARK}"'.encode()
        body = response.body.replace(mark, self.foreign.value)
        return response._replace(body=body)

    def write_foreign_entry(self) -> None:
        """Writes the entry of another writer."""
        entry: dict[str, object] = {
            "service": self.foreign.service,
            "address": "127.0.0.1:9",
            "zone": "here",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
        }
        entry[self.foreign.field] = _MARK
        self.put("servers", "i-foreign", entry)
