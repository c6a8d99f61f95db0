"""Everything heard from callers, and answered to them."""
