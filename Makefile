# Commands of the README. Each makes the virtual environment it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: all check format lint test demo bench clean

all: check

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

check: $(STAMP)
	$(BIN)/pyink --quiet --check jayseam conftest.py
	$(BIN)/pylint --score=n jayseam conftest.py
	$(MAKE) test

format: $(STAMP)
	$(BIN)/pyink --quiet jayseam conftest.py

lint: $(STAMP)
	$(BIN)/pylint --score=n jayseam conftest.py

# Tests of whole fleets measure times, so nothing runs beside them.
test: $(STAMP)
	status=0; \
	$(BIN)/python -m pytest -n 4 --dist loadfile --ignore=jayseam/node/tests || status=1; \
	$(BIN)/python -m pytest jayseam/node/tests || status=1; \
	exit $$status

demo: $(STAMP)
	$(BIN)/jayseam-demo $(ARGS)

bench: $(STAMP)
	$(BIN)/jayseam-bench $(ARGS)

clean:
	rm -rf $(VENV) build bench/out
