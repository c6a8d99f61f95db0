"""Everything heard from operators, and answered to them."""
