"""The users' platform: its words, decoded into the product's types.

Nothing outside this package knows them, and nothing in it decides.
"""
