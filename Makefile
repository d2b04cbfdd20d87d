VENV ?= .venv
PYTHON := $(VENV)/bin/python

SEED ?= 1

.PHONY: env quickstart test check measure bench days soak format

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

quickstart: env
	$(PYTHON) -m egretsill.quickstart

test: env
	$(PYTHON) -m pytest

check: env
	$(PYTHON) -m black --check --quiet egretsill platform
	$(PYTHON) -m ruff check egretsill platform
	$(PYTHON) -m mypy

format: env
	$(PYTHON) -m black --quiet egretsill platform
	$(PYTHON) -m ruff check --fix egretsill platform

measure: env
	$(PYTHON) -m egretsill.measurements

days: env
	PYTHONPATH=platform $(PYTHON) -m egretsill.measurements.emulated_days --seed=$(SEED)

soak: env
	PYTHONPATH=platform $(PYTHON) -m egretsill_platform.soak --seed=$(SEED)

bench: env
	$(PYTHON) -m egretsill.benchmarks
