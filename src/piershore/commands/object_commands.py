"""`piershore template|account|service list|get|apply|edit|delete`."""

from __future__ import annotations

from collections.abc import Sequence

import orjson
from ruamel.yaml import YAML

from piershore.commands.admin_client import call_admin
from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import VERSION
from piershore.commands.output import print_record, print_rows

USAGE = "list | get NAME | apply FILE | edit NAME FIELD=JSON... | delete NAME"


class ObjectCommand(Command):
    """A verb whose actions list, show and change one collection of objects."""

    collection = ""
    kind = ""

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run the action that the first argument names."""
        actions = {
            "list": self._list,
            "get": self._get,
            "apply": self._apply,
            "edit": self._edit,
            "delete": self._delete,
        }
        if not arguments or arguments[0] not in actions:
            raise CommandError(ExitCode.USAGE, f"usage: piershore {self.usage}")
        actions[arguments[0]](arguments[1:])
        return ExitCode.OK

    def _list(self, arguments: Sequence[str]) -> None:
        items = call_admin("GET", self.collection)["items"]
        print_rows([{"name": i["name"], "version": i["version"]} for i in items])

    def _get(self, arguments: Sequence[str]) -> None:
        print_record(self._read(_name(arguments)))

    def _apply(self, arguments: Sequence[str]) -> None:
        """Write each document of the file, on top of its current version."""
        from piershore.settings.exceptions import InvalidSettingsError
        from piershore.settings.load import load_documents

        file = _name(arguments)
        try:
            documents = load_documents(file)
        except InvalidSettingsError as error:
            raise CommandError(ExitCode.INVALID, error.message) from error
        rows = []
        for document, spec in zip(documents, _raw_specs(file), strict=True):
            if document.kind != self.kind:
                message = f"{document.name} is a {document.kind}, not a {self.kind}"
                raise CommandError(ExitCode.INVALID, message)
            written = self._put(document.name, spec)
            rows.append({"name": written["name"], "version": written["version"]})
        print_rows(rows)

    def _edit(self, arguments: Sequence[str]) -> None:
        """Change fields that are given as ``path=JSON``, such as ``overrides.x=3``."""
        name = _name(arguments)
        if len(arguments) < 2:
            raise CommandError(ExitCode.USAGE, f"usage: piershore {self.usage}")
        changes: dict = {}
        for assignment in arguments[1:]:
            _assign(changes, assignment)
        version = VERSION.value
        if version is None:
            version = self._read(name)["version"]
        path = f"{self.collection}/{name}"
        headers = {"If-Match": f'"{version}"'}
        print_record(call_admin("PATCH", path, body=changes, headers=headers))

    def _delete(self, arguments: Sequence[str]) -> None:
        name = _name(arguments)
        version = VERSION.value
        if version is None:
            version = self._read(name)["version"]
        headers = {"If-Match": f'"{version}"'}
        print_record(call_admin("DELETE", f"{self.collection}/{name}", headers=headers))

    def _put(self, name: str, spec: object) -> dict:
        version = VERSION.value
        if version is None:
            version = self._current_version(name)
        path = f"{self.collection}/{name}"
        precondition = {"If-Match": f'"{version}"'}
        if version == 0:
            precondition = {"If-None-Match": "*"}
        return call_admin("PUT", path, body=spec, headers=precondition)

    def _current_version(self, name: str) -> int:
        items = call_admin("GET", self.collection)["items"]
        return next((i["version"] for i in items if i["name"] == name), 0)

    def _read(self, name: str) -> dict:
        return call_admin("GET", f"{self.collection}/{name}")


@command("template")
class TemplateCommand(ObjectCommand):
    """Lists, shows and changes account templates."""

    usage = f"template {USAGE}"
    summary = "List, show and change account templates."
    example = "piershore template apply examples/adebayo/templates.yaml"
    collection = "templates"
    kind = "AccountTemplate"


@command("account")
class AccountCommand(ObjectCommand):
    """Lists, shows and changes client accounts."""

    usage = f"account {USAGE}"
    summary = "List, show and change client accounts."
    example = "piershore account edit surulere overrides.concurrent_requests=8"
    collection = "accounts"
    kind = "ClientAccount"


@command("service")
class ServiceCommand(ObjectCommand):
    """Lists, shows and changes services."""

    usage = f"service {USAGE}"
    summary = "List, show and change services."
    example = "piershore service get design-review --output=json"
    collection = "services"
    kind = "Service"


def _name(arguments: Sequence[str]) -> str:
    if not arguments:
        raise CommandError(ExitCode.USAGE, "NAME or FILE is missing")
    return arguments[0]


def _raw_specs(file: str) -> list[object]:
    with open(file, encoding="utf-8") as stream:
        return [d["spec"] for d in YAML(typ="safe").load_all(stream) if d is not None]


def _assign(changes: dict, assignment: str) -> None:
    path, separator, text = assignment.partition("=")
    if not separator or not path:
        raise CommandError(ExitCode.USAGE, f"{assignment!r} is not FIELD=JSON")
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise CommandError(ExitCode.USAGE, f"{text!r} is not JSON: {error}") from error
    *parents, last = path.split(".")
    for parent in parents:
        changes = changes.setdefault(parent, {})
    changes[last] = value
