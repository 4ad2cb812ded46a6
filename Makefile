# Every target sets up what it needs in $(VENV) first.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp-$(shell cat pyproject.toml requirements.txt | cksum | cut -d' ' -f1)
SOURCES := oleanderdrift standins tests bench

.PHONY: test demo bench binary check format lint types long soak

$(STAMP):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

test: $(STAMP)
	$(PY) -m pytest

lint: $(STAMP)
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m flake8 $(SOURCES)

types: $(STAMP)
	$(PY) -m mypy $(SOURCES)

format: $(STAMP)
	$(PY) -m ruff format $(SOURCES)

bench: $(STAMP)
	$(PY) -m bench

binary: dist/oleanderdrift

dist/oleanderdrift: $(STAMP) $(wildcard oleanderdrift/*.py oleanderdrift/*/*.py)
	mkdir -p dist
	$(PY) -m pex . -m oleanderdrift -o $@
	$(PY) -m pytest -m binary

check: lint types test

demo: $(STAMP)
	$(PY) -m standins.demo

# SEED=n repeats a run; without it a new seed is drawn and printed.
SEED ?= $(shell date +%s)
LONG_EXAMPLES ?= 5000

long: $(STAMP)
	$(PY) -m pytest -m long -s
	@echo seed=$(SEED)
	PROMISES_EXAMPLES=$(LONG_EXAMPLES) PROMISES_STRIDE=1 \
	$(PY) -m pytest tests/test_promises.py --hypothesis-seed=$(SEED)

# A list of seeds, and for how long faults come in each run.
SEEDS ?= $(shell shuf -i 1-1000000 -n 10 | paste -sd,)
SOAK_SECONDS ?= 10

soak: $(STAMP)
	@echo seeds=$(SEEDS)
	SOAK_SEED=$(SEEDS) SOAK_SECONDS=$(SOAK_SECONDS) \
	$(PY) -m pytest tests/test_gateway_soak.py
