"""The decisions of one search, free of input and output."""
