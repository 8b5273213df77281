"""Tests of the backend client and state."""
