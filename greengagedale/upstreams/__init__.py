"""Everything said to upstreams, and heard from them."""
