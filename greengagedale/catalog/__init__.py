"""Templates, workspaces and the catalog that references them; no I/O."""
