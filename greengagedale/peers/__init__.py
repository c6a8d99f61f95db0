"""Communication between hosts: gRPC calls and UDP datagrams."""
