VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)
SOURCES := fulmarbarrow benchmarks faultmatrix soak tools

.PHONY: demo test measure traces format lint docs scenarios setup

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--no-build-isolation --no-deps --editable .
	touch $@

demo: setup
	$(PYTHON) -m tools.demo

test: setup lint docs scenarios

scenarios: setup
	$(PYTHON) -m tools.run_scenarios

measure: setup
	$(PYTHON) -m benchmarks

traces: setup
	$(PYTHON) -m tools.record_stories

format: setup
	$(PYTHON) -m isort --quiet $(SOURCES)
	$(PYTHON) -m ruff format --quiet $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)
	$(PYTHON) -m ruff format $(SOURCES)

lint: setup
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)
	$(PYTHON) -m isort --check-only $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

docs: setup
	$(PYTHON) -m mkdocs build --strict
