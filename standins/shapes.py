"""Shapes of deployments: their data centres, services, hosts and ports."""

import pathlib
import tomllib
from typing import NamedTuple, Self

import pydantic

from greengagedale.catalog import services
from greengagedale.config import settings as settings_lib
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base as upstreams_base
from standins import faultproxy

ENTRY_HOSTS = 4
_UPSTREAM_OFFSET = 100
_HOST_OFFSET = 10
_PORTS_PER_HOST = 3
_PROXY_OFFSET = 250
_PLATFORM_PROXY_OFFSET = 8
_PROXY_CONTROL_OFFSET = 7
_CUT_CONTROL_OFFSET = 6
_PEER_PROXY_OFFSET = 40


class ServiceShape(settings_lib.Section):
    """One service of a deployment.

    Attributes:
        name: Name of the service.
        instances: Number of shard groups; each group holds its own range.
        replicas: Number of upstreams in each group.
        slots: Number of requests that an upstream runs concurrently.
        connections: Maximum number of connections that an upstream accepts.
        connect_ms: Additional latency of the first request of a connection.
        work_ms: Median run time of a sub-request.
    """

    name: str
    instances: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    work_ms: float = 3.0


class Shape(settings_lib.Section):
    """The shape of a deployment.

    Attributes:
        name: Name of the deployment.
        base_port: First port; all other ports are offsets from it.
        data_centres: Names of the data centres; hosts and replicas are
            assigned to them round-robin in this order.
        between_ms: One-way delay between two data centres.
        clients_ms: One-way delay between a caller and a host.
        services: The services.
        proxied: Whether hosts reach the platform, the upstreams and each
            other through the fault-injecting proxy.
    """

    name: str
    base_port: int
    data_centres: list[str]
    between_ms: float
    clients_ms: float
    services: list[ServiceShape]
    proxied: bool = False

    @classmethod
    def from_file(
        cls,
        path: pathlib.Path,
        base_port: int | None = None,
        proxied: bool = False,
    ) -> Self:
        """Reads a shape file, optionally overriding ports and proxy use.

        Raises:
            SystemExit: The file is not a valid shape.
        """
        config = tomllib.loads(path.read_text(encoding="utf-8"))
        if base_port is not None:
            config["base_port"] = base_port
        config["proxied"] = proxied
        try:
            return cls.model_validate(config)
        except pydantic.ValidationError as error:
            raise SystemExit(f"{path}: {error}") from error

    @property
    def main_service(self) -> str:
        """The service that benchmarks measure: the first in the file."""
        return self.services[0].name

    @property
    def platform_endpoint(self) -> str:
        """Endpoint on which the platform listens."""
        return f"127.0.0.1:{self.base_port}"

    @property
    def published_platform_endpoint(self) -> str:
        """Endpoint at which hosts reach the platform."""
        if not self.proxied:
            return self.platform_endpoint
        return f"127.0.0.1:{self.base_port + _PLATFORM_PROXY_OFFSET}"

    @property
    def proxy_control_endpoint(self) -> str:
        """Endpoint on which the TCP proxy receives its faults."""
        return f"127.0.0.1:{self.base_port + _PROXY_CONTROL_OFFSET}"

    @property
    def cut_control_endpoint(self) -> str:
        """Endpoint on which the datagram proxy receives the cut links."""
        return f"127.0.0.1:{self.base_port + _CUT_CONTROL_OFFSET}"

    def peer_routes(self) -> list[faultproxy.Route]:
        """Returns the proxy routes between entry hosts."""
        return [
            faultproxy.Route(host.published_peer_endpoint, host.peer_endpoint)
            for host in self.entry_hosts()
        ]

    def routes(self) -> list[faultproxy.Route]:
        """Returns all routes of the TCP proxy."""
        return [
            faultproxy.Route(
                self.published_platform_endpoint, self.platform_endpoint
            ),
            *(
                faultproxy.Route(
                    placed.upstream.endpoint, placed.listen_endpoint
                )
                for placed in self.upstreams()
            ),
            *self.peer_routes(),
        ]

    def entry_hosts(self) -> list["EntryHost"]:
        """Returns the entry hosts, spread over the data centres."""
        return [self._entry_host(i) for i in range(ENTRY_HOSTS)]

    def upstreams(self) -> list["PlacedUpstream"]:
        """Returns all upstreams of all services, in port order."""
        placed = [
            (shape, group, replica)
            for shape in self.services
            for group in range(shape.instances)
            for replica in range(shape.replicas)
        ]
        return [
            self._place_upstream(number, *item)
            for number, item in enumerate(placed)
        ]

    def initial_service(self, name: str) -> services.Service:
        """Returns the first version of a service that the platform stores."""
        placed = [p for p in self.upstreams() if p.shape.name == name]
        groups = ranges.split_evenly(
            ranges.KEY_SPACE, placed[0].shape.instances
        )
        entries = tuple(
            snapshots.RangeReplicas(
                key_range,
                tuple(p.upstream.name for p in placed if p.group == group),
            )
            for group, key_range in enumerate(groups)
        )
        partition_map = snapshots.PartitionMap(
            snapshots.Snapshot(1, 1), entries
        )
        by_name = {p.upstream.name: p.upstream for p in placed}
        return services.Service(name, 0, by_name, (partition_map,))

    def _entry_host(self, number: int) -> "EntryHost":
        first_port = self.base_port + _HOST_OFFSET + number * _PORTS_PER_HOST
        return EntryHost(
            name=f"entry-{number + 1}",
            data_centre=self.data_centres[number % len(self.data_centres)],
            address=f"127.0.1.{number + 1}",
            caller_port=first_port,
            operator_port=first_port + 1,
            peer_port=first_port + 2,
            published_peer_port=self.base_port + _PEER_PROXY_OFFSET + number
            if self.proxied
            else first_port + 2,
        )

    def _place_upstream(
        self, number: int, shape: ServiceShape, group: int, replica: int
    ) -> "PlacedUpstream":
        name = f"{shape.name}-{group + 1}-{replica + 1}"
        data_centre = self.data_centres[
            (group + replica) % len(self.data_centres)
        ]
        port = self.base_port + _UPSTREAM_OFFSET + number
        published = port + _PROXY_OFFSET if self.proxied else port
        return PlacedUpstream(
            shape,
            group,
            upstreams_base.Upstream(
                name,
                f"127.0.0.1:{published}",
                data_centre,
                shape.slots,
                shape.connections,
            ),
            f"127.0.0.1:{port}",
        )


class EntryHost(NamedTuple):
    """An entry host of a shape."""

    name: str
    data_centre: str
    address: str
    caller_port: int
    operator_port: int
    peer_port: int
    published_peer_port: int

    @property
    def peer_endpoint(self) -> str:
        """Endpoint on which the process listens for other hosts."""
        return f"{self.address}:{self.peer_port}"

    @property
    def published_peer_endpoint(self) -> str:
        """Endpoint at which other hosts reach this host."""
        return f"{self.address}:{self.published_peer_port}"

    def settings_toml(self, shape: Shape) -> str:
        """Returns the contents of this host's settings file."""
        seeds = ", ".join(
            f'"{h.published_peer_endpoint}"' for h in shape.entry_hosts()
        )
        return (
            "[host]\n"
            f'name = "{self.name}"\n'
            f'data_centre = "{self.data_centre}"\n'
            f'address = "{self.address}"\n'
            f"caller_port = {self.caller_port}\n"
            f"operator_port = {self.operator_port}\n"
            f"peer_port = {self.peer_port}\n"
            "\n[platform]\n"
            f'endpoint = "{shape.published_platform_endpoint}"\n'
            f"\n[peers]\nseeds = [{seeds}]\n"
            f'advertised_endpoint = "{self.published_peer_endpoint}"\n'
        )


class PlacedUpstream(NamedTuple):
    """An upstream of a shape.

    Attributes:
        shape: Shape of the service that the upstream belongs to.
        group: Index of the shard group whose range the upstream holds.
        upstream: The upstream as published to hosts.
        listen: Endpoint on which the process listens; the published one is
            the proxy's if the shape is proxied.
    """

    shape: ServiceShape
    group: int
    upstream: upstreams_base.Upstream
    listen_endpoint: str
