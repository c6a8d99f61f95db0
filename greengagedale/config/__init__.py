"""Settings files of the host processes, and their validation."""
