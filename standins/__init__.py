"""Stand-ins for the outside systems that greengagedale serves.

They are for tests, demos and measurements, and no part of the daemon. They
speak the published protocols of the platform and of upstreams, misbehave on
request, and record every run of every request.
"""
