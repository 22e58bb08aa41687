VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := ibisrack bench

.PHONY: demo fleet test bench soak room format clean

$(STAMP): requirements.txt requirements-dev.txt
	python3.11 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m bench.demo

fleet: $(STAMP)
	$(PY) -m bench.sidecar_fleet

test: $(STAMP)
	$(VENV)/bin/black --check --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)
	PYTHONHASHSEED=0 $(PY) -m ibisrack.testing.runner

bench: $(STAMP)
	$(PY) -m bench.runner $(if $(ONLY),--only=$(ONLY))

soak: $(STAMP)
	$(PY) -m bench.soak.runner $(if $(SEEDS),--seeds=$(SEEDS)) \
		$(if $(SIDECARS),--sidecars=$(SIDECARS)) $(if $(ZONES),--zones=$(ZONES)) \
		$(addprefix --add=,$(ADD))

room: $(STAMP)
	$(PY) -m bench.watch

format: $(STAMP)
	$(VENV)/bin/black --quiet $(SOURCES)
	$(VENV)/bin/ruff check --fix --quiet $(SOURCES)

clean:
	rm -rf $(VENV) build
