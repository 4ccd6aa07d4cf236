PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

# Processes for the tests that start none themselves; those that do run one after the other.
WORKERS := 6

.PHONY: run test setup bench bench-calm

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

run: setup
	$(BIN)/python scripts/demo.py $(ARGS)

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest -n $(WORKERS) --ignore=tests/process --ignore=tests/soak --ignore=tests/hostile
	$(BIN)/python -m pytest tests/process tests/soak tests/hostile

bench: setup
	$(BIN)/python -m bench.placement
	$(BIN)/python -m bench.routing
	$(BIN)/python -m bench.capacity

# Plays a calm day of four deployments on the users' bench, where the kit lies beside.
KIT := ../given/kit/more/system
FLEETBENCH := $(KIT)/more/bench-9713e2/bin/fleetbench
bench-calm:
	@if [ ! -x $(FLEETBENCH) ]; then echo "the users' kit is not here: not run"; exit 0; fi; \
	for site in sites/bbl-finder sites/pedalne-sched further/umoja-fares large/bbl-finder-large; do \
		$(FLEETBENCH) run $(KIT)/$$site.toml quiet-1 --why "calm day"; \
	done
