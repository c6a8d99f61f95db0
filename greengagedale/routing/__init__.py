"""Which replica an attempt is sent to."""
