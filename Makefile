# Every target sets itself up on a machine with Python 3.11, pip and make.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format bench clean

$(STAMP): pyproject.toml $(wildcard packages/*/pyproject.toml) requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check 'uv>=0.13'
	VIRTUAL_ENV=$(VENV) $(BIN)/uv pip install --quiet -r requirements.txt \
		$(foreach p,$(wildcard packages/*),-e $(p))
	touch $@

demo: $(STAMP)
	$(BIN)/python -m radishferry_testing.demo

check: $(STAMP)
	$(BIN)/ruff format --check packages features
	$(BIN)/flake8 packages features

format: $(STAMP)
	$(BIN)/ruff format packages features

test: $(STAMP)
	$(BIN)/behave --format progress --no-capture

bench: $(STAMP)
	$(BIN)/python -m radishferry_testing.bench

clean:
	rm -rf $(VENV)
