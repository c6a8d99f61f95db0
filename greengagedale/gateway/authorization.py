"""Identifies callers by their keys and decides whether they may still send.

A request is identified on arrival. Whether its key still belongs to the same
workspace is checked again before each send, because a request may wait, or be
retried, while its key is revoked. Where revocation is bounded, both checks also
require a proof that the configuration is recent; see `freshness`.
"""

import dataclasses

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import freshness as freshness_lib
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


@dataclasses.dataclass(frozen=True, slots=True)
class UnprovenConfiguration:
    """The host can't decide: its configuration may be too old.

    A key that it knows may be revoked, and one that it doesn't may be new.

    Attributes:
        proof_age_ms: Age of the latest proof; None if there is none.
    """

    proof_age_ms: int | None


class Authorizer:
    """Checks keys against the configuration in force."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        freshness: freshness_lib.Freshness,
    ) -> None:
        self._registry = registry
        self._freshness = freshness

    def identify(
        self, route: route_config.Route, key: bytes | None
    ) -> calls.CallerIdentity | UnknownKey | UnprovenConfiguration:
        """Returns the caller of a request on a route, or why it is refused.

        A configuration must be in force.

        Args:
            route: The route of the request.
            key: The key that the caller sent, or None.
        """
        if route.is_public:
            return _PUBLIC
        if not self._freshness.is_proven():
            return UnprovenConfiguration(self._freshness.known_age_ms)
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

    def send_refusal(self, call: calls.Call) -> outcomes.Reason | None:
        """Returns why a call may not be sent to an upstream now, or None."""
        identity = call.identity
        if identity is None or identity.workspace is None:
            return None
        if not self._freshness.is_proven():
            return outcomes.Reason.CONFIGURATION_UNPROVEN
        table = self._registry.table
        if table is None or not table.uses_keys:
            return None
        workspace = table.workspace_of(identity.key_digest)
        if workspace is None or workspace.name != identity.workspace:
            return outcomes.Reason.KEY_REVOKED
        return None
