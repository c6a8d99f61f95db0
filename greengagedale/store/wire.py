"""JSON messages of the platform's HTTP protocol."""

from typing import TypedDict

from greengagedale import untrusted_json


class ObjectReply(TypedDict):
    """One object; its value is text."""

    name: str
    version: int
    value: str


class WriteReply(TypedDict):
    """Reply to a write that took effect."""

    version: int


class NamesReply(TypedDict):
    """Reply with the names of all objects of a kind."""

    names: list[str]


class WatchReply(TypedDict):
    """Reply to a watch."""

    objects: list[ObjectReply]
    cursor: int


class HostReply(TypedDict):
    """One entry of the host list."""

    name: str
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str
    leaving: bool


class HostsReply(TypedDict):
    """Reply to `GET /v1/hosts`."""

    hosts: list[HostReply]


STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
STATUS_BUSY = 429
STATUS_TOO_LARGE = 413

object_decoder = untrusted_json.Decoder(ObjectReply)
write_decoder = untrusted_json.Decoder(WriteReply)
names_decoder = untrusted_json.Decoder(NamesReply)
watch_decoder = untrusted_json.Decoder(WatchReply)
hosts_decoder = untrusted_json.Decoder(HostsReply)
