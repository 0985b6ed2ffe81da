"""Requests that crash the targets that run them, for entry hosts and daemons alike."""
