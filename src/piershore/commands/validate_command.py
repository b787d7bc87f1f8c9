"""`piershore validate`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.output import print_rows
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.load import load_documents


@command("validate")
class ValidateCommand(Command):
    """Check files with settings and objects."""

    usage = "validate FILE..."
    summary = "Check settings and objects, and report every error with its line."
    example = "piershore validate examples/adebayo/accounts.yaml"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Check all files and print the errors, or the valid documents."""
        if not arguments:
            raise CommandError(ExitCode.USAGE, "FILE is missing")
        findings = []
        documents = []
        for file in arguments:
            try:
                documents.extend(load_documents(file))
            except InvalidSettingsError as error:
                findings.extend(error.findings)
        if findings:
            print_rows([asdict(finding) for finding in findings])
            return ExitCode.INVALID
        print_rows(
            [{"kind": d.kind, "name": d.name, "result": "ok"} for d in documents]
        )
        return ExitCode.OK
