"""HTTP/1.1 client and server on top of the httptools parser."""
