"""Communication with upstreams over HTTP."""
