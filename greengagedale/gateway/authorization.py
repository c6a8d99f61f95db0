"""Identifies callers by their keys and decides whether they may still send.

A request is identified on arrival. Whether its key still belongs to the same
workspace is checked again before each send, because a request may wait, or be
retried, while its key is revoked.
"""

import dataclasses

from greengagedale.gateway import calls
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import route_config

_PUBLIC = calls.CallerIdentity(None, b"")


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request has no key, or one that no workspace holds.

    Attributes:
        key_digest: Digest of the key; empty if there was none.
    """

    key_digest: bytes


class Authorizer:
    """Checks keys against the configuration in force."""

    def __init__(self, registry: registry_lib.Registry) -> None:
        self._registry = registry

    def identify(
        self, route: route_config.Route, key: bytes | None
    ) -> calls.CallerIdentity | UnknownKey:
        """Returns the caller of a request on a route, or why it is refused.

        A configuration must be in force.

        Args:
            route: The route of the request.
            key: The key that the caller sent, or None.
        """
        if route.is_public:
            return _PUBLIC
        table = self._registry.table
        if key is None or table is None:
            return UnknownKey(b"")
        digest = route_config.key_digest(key)
        workspace = table.workspace_of(digest)
        if workspace is None:
            return UnknownKey(digest)
        return calls.CallerIdentity(workspace.name, digest)

    def workspace_of(self, call: calls.Call) -> route_config.Workspace | None:
        """Returns the workspace of a call's caller, or None."""
        table = self._registry.table
        if (
            call.identity is None
            or call.identity.workspace is None
            or not table
        ):
            return None
        return table.workspaces.get(call.identity.workspace)

    def may_send(self, call: calls.Call) -> bool:
        """Returns whether a call may be sent to an upstream now."""
        identity = call.identity
        if identity is None or identity.workspace is None:
            return True
        table = self._registry.table
        if table is None or not table.uses_keys:
            return True
        workspace = table.workspace_of(identity.key_digest)
        return workspace is not None and workspace.name == identity.workspace
