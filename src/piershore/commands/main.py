"""Entry point of the program: parses the command line and runs the verb."""

from __future__ import annotations

import sys
from collections.abc import Iterator

from absl import flags

from piershore.commands import options  # noqa: F401 - defines the flags
from piershore.commands.command import Command, ExitCode, load_command, MODULES
from piershore.commands.exceptions import CommandError

HELP_FLAGS = ("--help", "-h", "-help", "--helpfull")


def run() -> None:
    """Run the program and exit."""
    sys.exit(main(sys.argv))


def main(argv: list[str]) -> int:
    """Run the verb in `argv` and return the exit code."""
    words = [word for word in argv[1:] if word not in HELP_FLAGS]
    wants_help = len(words) < len(argv) - 1
    try:
        arguments = flags.FLAGS([argv[0], *words])[1:]
    except flags.Error as error:
        print(f"piershore: {error}", file=sys.stderr)
        return ExitCode.USAGE
    verb = load_command(arguments[0]) if arguments else None
    if verb is None:
        print("\n".join(_overview()), file=sys.stdout if wants_help else sys.stderr)
        return ExitCode.OK if wants_help else ExitCode.USAGE
    if wants_help:
        print("\n".join(_help(verb)))
        return ExitCode.OK
    try:
        return verb.run(arguments[1:])
    except CommandError as error:
        print(f"piershore: {error.message}", file=sys.stderr)
        return error.exit_code


def _overview() -> Iterator[str]:
    yield "usage: piershore VERB [ARGUMENTS] [FLAGS]"
    yield ""
    for name in MODULES:
        verb = load_command(name)
        yield f"  {name:<10} {verb.summary}"
    yield ""
    yield "piershore VERB --help shows a verb's flags and an example."


def _help(verb: Command) -> Iterator[str]:
    yield f"usage: piershore {verb.usage}"
    yield ""
    yield verb.summary
    yield ""
    yield f"example: {verb.example}"
    yield ""
    yield "flags:"
    for name in options.FLAG_NAMES:
        flag = flags.FLAGS[name]
        yield f"  --{name:<10} {flag.help} (default: {flag.value!r})"
    yield ""
    yield "exit codes:"
    for code in ExitCode:
        yield f"  {code.value}  {code.name.lower()}"
