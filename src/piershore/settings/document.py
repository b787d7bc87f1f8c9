"""YAML documents of the form ``kind``, ``name``, ``spec``."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from cattrs import transform_error
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError
from cattrs.v import format_exception
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedBase
from ruamel.yaml.error import MarkedYAMLError

from piershore.core.configuration.checked import field_faults, FieldFault
from piershore.core.configuration.codec import converter
from piershore.core.configuration.objects import (
    AccountTemplate,
    ClientAccount,
    Service,
)
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.finding import Finding
from piershore.settings.process_settings import AgentSettings, GatewaySettings

DOCUMENT_TYPES = {
    "Gateway": GatewaySettings,
    "Agent": AgentSettings,
    "AccountTemplate": AccountTemplate,
    "ClientAccount": ClientAccount,
    "Service": Service,
}
ROOT_KEYS = ("kind", "name", "spec")
EXTRA_KEYS_PREFIX = "unknown keys: "
PATH_STEP_PATTERN = re.compile(r"\.(\w+)|\[(?:'([^']*)'|(\d+))\]")


@dataclass(frozen=True)
class Document:
    """One valid document; `spec` has the type that belongs to `kind`."""

    kind: str
    name: str
    spec: object


def read_documents(file: str, text: str) -> tuple[Document, ...]:
    """Parse all documents; raise `InvalidSettingsError` with every finding."""
    try:
        roots = [root for root in YAML().load_all(text) if root is not None]
    except MarkedYAMLError as error:
        raise InvalidSettingsError((_syntax_finding(file, error),)) from error
    except Exception as error:
        finding = Finding(file, 1, "$", "invalid_yaml", str(error).splitlines()[0])
        raise InvalidSettingsError((finding,)) from error
    documents: list[Document] = []
    findings: list[Finding] = []
    if not roots:
        findings.append(Finding(file, 1, "$", "empty", "the file has no document"))
    for root in roots:
        faults = list(_check_root(file, root))
        if not faults:
            spec = _structure(file, root, faults)
        if not faults:
            documents.append(Document(root["kind"], root["name"], spec))
        findings.extend(faults)
    if findings:
        raise InvalidSettingsError(tuple(sorted(set(findings))))
    return tuple(documents)


def _syntax_finding(file: str, error: MarkedYAMLError) -> Finding:
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark else 1
    return Finding(file, line, "$", "invalid_yaml", error.problem or "syntax error")


def _check_root(file: str, root: object) -> Iterator[Finding]:
    if not isinstance(root, dict):
        yield Finding(file, 1, "$", "wrong_type", "a document must be a mapping")
        return
    line = root.lc.line + 1
    for key in ROOT_KEYS:
        if key not in root:
            yield Finding(file, line, key, "missing", f"{key} is missing")
    for key in root:
        if key not in ROOT_KEYS:
            key_line = _line_of(root, [key])
            yield Finding(file, key_line, str(key), "unknown_key", "unknown key")
    if "kind" in root and root["kind"] not in DOCUMENT_TYPES:
        known = ", ".join(DOCUMENT_TYPES)
        key_line = _line_of(root, ["kind"])
        yield Finding(file, key_line, "kind", "unknown_kind", f"kind is one of {known}")
    if "name" in root and not isinstance(root["name"], str):
        key_line = _line_of(root, ["name"])
        yield Finding(file, key_line, "name", "wrong_type", "name must be text")


def _structure(file: str, root: dict, faults: list[Finding]) -> object:
    target = DOCUMENT_TYPES[root["kind"]]
    plain = _to_plain(root["spec"])
    if not isinstance(plain, dict):
        line = _line_of(root, ["spec"])
        faults.append(Finding(file, line, "spec", "wrong_type", "must be a mapping"))
        return None
    checked = [_field_finding(file, root, f) for f in field_faults(target, plain)]
    faults.extend(checked)
    try:
        return converter().structure(plain, target)
    except ClassValidationError as error:
        for text in transform_error(error, format_exception=_format_error):
            found = _parse_findings(file, root, text)
            faults.extend(f for f in found if not _is_reported(f, checked))
    except (TypeError, ValueError) as error:
        if not checked:
            line = _line_of(root, ["spec"])
            message = str(error)
            faults.append(Finding(file, line, "spec", "invalid_value", message))
    return None


def _is_reported(finding: Finding, checked: list[Finding]) -> bool:
    """Return whether an object's fault is already reported for one of its fields."""
    return any(
        known.path.startswith(f"{finding.path}.") and known.message in finding.message
        for known in checked
    )


def _field_finding(file: str, root: dict, fault: FieldFault) -> Finding:
    steps = ["spec", *fault.path]
    line = _line_of(root, steps)
    return Finding(file, line, _join_path(steps), "invalid_value", fault.message)


def _format_error(error: BaseException, target: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        return EXTRA_KEYS_PREFIX + ",".join(sorted(error.extra_fields))
    if isinstance(error, KeyError):
        return f"missing: {error.args[0]}"
    return f"{_code_of(error)}: {format_exception(error, target)} ({error})"


def _code_of(error: BaseException) -> str:
    return "wrong_type" if isinstance(error, TypeError) else "invalid_value"


def _parse_findings(file: str, root: dict, text: str) -> Iterator[Finding]:
    message, _, raw_path = text.rpartition(" @ ")
    steps = ["spec", *_parse_path(raw_path)]
    if message.startswith(EXTRA_KEYS_PREFIX):
        for key in message.removeprefix(EXTRA_KEYS_PREFIX).split(","):
            key_steps = [*steps, key]
            line = _line_of(root, key_steps)
            yield Finding(
                file, line, _join_path(key_steps), "unknown_key", "unknown key"
            )
        return
    code, _, detail = message.partition(": ")
    if code == "missing":
        detail = f"{detail} is missing"
    yield Finding(file, _line_of(root, steps), _join_path(steps), code, detail)


def _parse_path(raw_path: str) -> list[str | int]:
    return [
        int(index) if index else (name or key)
        for name, key, index in PATH_STEP_PATTERN.findall(raw_path)
    ]


def _join_path(steps: list[str | int]) -> str:
    return ".".join(str(step) for step in steps)


def _line_of(root: object, steps: list[str | int]) -> int:
    node = root
    line = node.lc.line + 1
    for step in steps:
        if not isinstance(node, CommentedBase):
            return line
        try:
            position = (
                node.lc.item(step) if isinstance(step, int) else (node.lc.key(step))
            )
            node = node[step]
        except (KeyError, IndexError, TypeError):
            return line
        line = position[0] + 1
    return line


def _to_plain(node: object) -> object:
    if isinstance(node, dict):
        return {str(key): _to_plain(value) for key, value in node.items()}
    if isinstance(node, list):
        return [_to_plain(item) for item in node]
    for scalar in (bool, int, float, str):
        if isinstance(node, scalar):
            return node if type(node) is bool else scalar(node)
    return node
