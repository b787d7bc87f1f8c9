"""`piershore hash-key`."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from hashlib import sha256

from piershore.commands.command import Command, command, ExitCode


@command("hash-key")
class HashKeyCommand(Command):
    """Hash a bearer key."""

    usage = "hash-key < KEY"
    summary = "Print the hash of a bearer key read from standard input."
    example = "printf %s my-key | piershore hash-key"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print the hash in the form that an account's `key_hashes` contains."""
        print(sha256(sys.stdin.read().strip().encode()).hexdigest())
        return ExitCode.OK
