"""Stand-ins for the external systems that greengagedale works with.

They are used by tests, demos and benchmarks and are not part of the daemon.
They implement the published protocols of the platform and of upstreams, inject
faults on request, and record every run of every request.
"""
