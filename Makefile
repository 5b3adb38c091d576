# `make demo` installs and runs the demonstration, `make test` installs and tests.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=src $(VENV)/bin/python

.PHONY: demo test unit lint format bench

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -c constraints.txt -e '.[bench,dev]'
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m rosemaryridge_testbed.cli.demo

test: $(VENV)/.installed
	$(RUN) -m tests

unit: $(VENV)/.installed
	$(RUN) -m tests --unit

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(VENV)/.installed
	$(RUN) -m rosemaryridge_testbed.cli.bench
