"""Limits of the bytes that a process reads and keeps for its connections."""
