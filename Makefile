VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup test demo lint format typecheck binary

setup: $(VENV)/installed

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[development]'
	touch $@

test: setup
	$(BIN)/python -m tests

demo: setup
	$(BIN)/python -m fakes.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

typecheck: setup
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: setup
	mkdir -p dist
	$(BIN)/shiv --constraint constraints.txt --console-script carawayhitch \
		--compressed --reproducible --output-file dist/carawayhitch.pyz .
