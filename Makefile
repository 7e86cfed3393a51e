# Entry points: `make run` starts the development deployment, `make test` checks everything.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= centre

.PHONY: run test lint setup lock

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

run: setup
	$(BIN)/bronzemux-dev --deployment=$(DEPLOYMENT)

lint: setup
	$(BIN)/black --check --quiet bronzemux features
	$(BIN)/ruff check --quiet bronzemux features

test: lint
	$(BIN)/python -m features.runner

lock:
	$(PYTHON) -m venv .venv-lock
	.venv-lock/bin/pip install --quiet --editable '.[plot,test]'
	.venv-lock/bin/pip freeze --exclude-editable > requirements.lock
	rm -rf .venv-lock
