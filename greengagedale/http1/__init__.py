"""HTTP/1.1 over the parser library, byte for byte, on both sides."""
