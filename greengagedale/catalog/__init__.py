"""Templates, workspaces and the catalog that binds them, free of I/O."""
