# Settings: VENV names the virtual environment, PYTHON the interpreter that creates it.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
RUN = PYTHONPATH=src:. $(BIN)/python
SETUP = $(VENV)/.setup-done

.PHONY: setup test demo bench model lint format

setup: $(SETUP)

$(SETUP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(SETUP)

test: setup
	$(RUN) -m pytest

demo: setup
	$(RUN) -m flamingoladder demo

bench: setup
	$(RUN) -m bench $(if $(QUICK),--quick)

model: setup
	$(RUN) -m models

lint: setup
	$(BIN)/black --check --quiet src tests bench models
	$(BIN)/ruff check --quiet src tests bench models
	$(BIN)/mypy

format: setup
	$(BIN)/black --quiet src tests bench models
	$(BIN)/ruff check --quiet --fix --unsafe-fixes src tests bench models
