"""Search logic: pinning, fan-out, retries, hedging and merging, without I/O."""
