"""Everything said to the platform's object API, and heard from it."""
