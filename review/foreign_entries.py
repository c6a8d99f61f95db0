"""A store with an entry of another writer that can't be read."""

from greengagedale.http1 import messages
from standins import gateway_store

_MARK = "<value>"


class StoreWithForeignEntry(gateway_store.GatewayStore):
    """The stand-in of the store, with one value in answers as it was written.

    Attributes:
        value: The bytes of the field `zone` of the entry in all answers.
    """

    def __init__(self, value: bytes) -> None:
        super().__init__()
        self.value = value

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a call."""
        response = await super().handle(request)
        mark = f'"{_MARK}"'.encode()
        return response._replace(body=response.body.replace(mark, self.value))

    def write_foreign_entry(self) -> None:
        """Writes the entry of another writer."""
        entry = {
            "service": "s1",
            "address": "127.0.0.1:9",
            "zone": _MARK,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
        }
        self.put("servers", "i-foreign", entry)
