PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint binary bench soak slopes reference overhead venv

venv: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: venv
	$(BIN)/python -m tools.demo

test: venv
	$(BIN)/python -m tools.run_tests

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

binary: venv
	$(BIN)/python -m tools.build_binary

bench: venv
	$(BIN)/python -m tools.bench

slopes: venv
	$(BIN)/python -m tools.slopes

soak: venv
	$(BIN)/python -m tools.soak --deal --cuts --builds --outages --strain --crashes --foreign --isolation --fresh 10

reference: venv
	$(BIN)/python -m tools.reference

overhead: venv
	$(BIN)/python -m tools.overhead
