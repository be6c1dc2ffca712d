PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint types bench proto format

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m rosepath_standins demo

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(VENV)/installed
	$(BIN)/mypy

test: lint types
	$(BIN)/pytest

bench: $(VENV)/installed
	$(BIN)/python -m benchmarks

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: $(VENV)/installed
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I src \
	  --python_out=src --mypy_out=src --grpclib_python_out=src \
	  src/rosepath/proto/rosepath.proto
