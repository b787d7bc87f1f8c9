"""Requests under which endpoints crash: who is suspected, and what is not sent on."""
