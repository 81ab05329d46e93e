PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format install bench

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

demo: install
	PYTHONPATH=src:. $(BIN)/python scripts/demo.py

lint: install
	$(BIN)/ruff format --check src standins bench soak tests scripts
	$(BIN)/ruff check src standins bench soak tests scripts

format: install
	$(BIN)/ruff format src standins bench soak tests scripts
	$(BIN)/ruff check --fix src standins bench soak tests scripts

# Crowds of clients run one at a time and apart from other tests.
test: lint
	$(BIN)/python -m pytest -n 6 --dist loadfile -m "not crowd"
	$(BIN)/python -m pytest -m crowd

bench: install
	PYTHONPATH=src:. $(BIN)/python -m bench
