"""Everything said between hosts of the system."""
