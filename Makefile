# Each target does its own set-up on a fresh machine.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint model behave bench slopes soak mutants proto

setup: .venv/.installed

.venv/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m devtools.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

model: setup
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin gcc)
	$(BIN)/python -m devtools.model_check

behave: setup
	$(BIN)/behave

test: setup
	$(BIN)/python -m devtools.run_checks

bench: setup
	$(BIN)/python -m devtools.bench --plot docs/measurements.png
	$(BIN)/python -m devtools.bench.fleet_experiment --plot docs/fleet.png

slopes: setup
	$(BIN)/python -m devtools.slopes

# Real gateways before stand-ins, faults from outside: make soak SEEDS=50 FIRST=100
SEEDS ?= 50
FIRST ?= 1
soak: setup
	$(BIN)/python -m devtools.soak --seeds $(SEEDS) --first $(FIRST) --jobs 4

# Only needed after an edit of link.proto; the generated code is committed.
proto: setup
	$(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --grpc_python_out=src src/piershore/wire/link.proto

# Features against versions of the product that lack one mechanism.
mutants: setup
	$(BIN)/python -m devtools.mutants
