"""Steps for the validation of settings files."""

from __future__ import annotations

from pathlib import Path

from behave import given, then, when

from devtools.deployment import EXAMPLES
from piershore.settings.document import read_documents
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.load import load_documents


@given("this settings file")
def given_file(context):
    context.settings = context.text


@given('the settings text "{text}"')
def given_text(context, text):
    context.settings = text.replace("\\n", "\n")


@given('the settings text ""')
def given_empty(context):
    context.settings = ""


@when("it is validated")
def validate(context):
    try:
        read_documents("file.yaml", context.settings)
        context.findings = ()
    except InvalidSettingsError as error:
        context.findings = error.findings


@then("the findings are")
def check_findings(context):
    expected = {(int(r["line"]), r["path"], r["code"]) for r in context.table}
    found = {(f.line, f.path, f.code) for f in context.findings}
    assert found == expected, context.findings


@then("one finding has line {line:d}, path {path} and code {code}")
def check_one(context, line, path, code):
    found = {(f.line, f.path, f.code) for f in context.findings}
    assert (line, path, code) in found, context.findings


@then("some finding has code {code}")
def check_some(context, code):
    assert code in {f.code for f in context.findings}, context.findings


@then("all example files are valid")
def check_examples(context):
    files = sorted(Path(EXAMPLES).glob("*/*.yaml"))
    assert files
    for file in files:
        load_documents(str(file))
