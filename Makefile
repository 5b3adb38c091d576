# `make demo` installs and runs the demonstration, `make test` installs and tests.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=src $(VENV)/bin/python

.PHONY: demo test unit lint format docs bench

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

docs: $(VENV)/.installed
	$(RUN) -m rosemaryridge.cli.ctl reference codes --into docs/CODES.md
	$(RUN) -m rosemaryridge.cli.ctl reference metrics --into docs/OPERATIONS.md
	$(RUN) -m rosemaryridge.cli.ctl reference settings --into docs/CONFIGURATION.md
	$(RUN) -m rosemaryridge.cli.ctl reference service --into docs/CONFIGURATION.md

bench: $(VENV)/.installed
	$(RUN) -m rosemaryridge_testbed.cli.bench
