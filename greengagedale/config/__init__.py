"""Settings of processes: options that validate themselves."""
