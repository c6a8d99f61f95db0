"""Commands of the command line, one module each, and their helpers."""
