PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/wire platform packages/daemon packages/gateway packages/ctl standins models benchmarks
SOURCES := packages platform tests deploy standins models benchmarks conftest.py

.PHONY: demo test lint model measure slopes report format clean

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(addprefix -e ,$(PACKAGES))
	touch $@

lint: $(VENV)/.installed
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

test: lint
	$(BIN)/python -m pytest

demo: $(VENV)/.installed
	$(BIN)/python -m carawayquay_standins.demo

model: $(VENV)/.installed
	$(BIN)/python -m carawayquay_models

measure: $(VENV)/.installed
	$(BIN)/python -m carawayquay_benchmarks.path
	$(BIN)/python -m carawayquay_benchmarks.blocks
	$(BIN)/python -m carawayquay_benchmarks.slots

slopes: $(VENV)/.installed
	$(BIN)/python -m carawayquay_benchmarks.slopes
	$(BIN)/python -m carawayquay_benchmarks.spreading

report: $(VENV)/.installed
	$(BIN)/python -m carawayquay_benchmarks.scenarios --out report
	$(BIN)/python -m carawayquay_benchmarks.caller_runs

format: $(VENV)/.installed
	$(BIN)/ruff check --quiet --fix-only $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

clean:
	rm -rf site report .pytest_cache .ruff_cache
