# Targets to build, test and measure the project; "make help" lists them.
GO ?= go
BIN := bin

.PHONY: help build lint test quickstart measure capacity soak soak-processes fuzz clean

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

lint: ## run gofumpt, go vet, staticcheck and the check of the import rules
	@out=$$($(GO) tool gofumpt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) run ./tools/importcheck

# Tests that measure the memory of daemons under crowds of clients; each runs alone, after all others.
CROWD_TESTS := TestClientsThatIgnoreLimits TestCrowdsOfSeveralKinds

# Specs that take half of the time of their package with the race detector; each suite runs in a process of its own.
LONG_SUITES := TestScheduler

test: ## run all tests with the race detector
	$(GO) test -race -count=1 -timeout 15m $(shell ./tools/known-red skip-flag $(CROWD_TESTS) $(LONG_SUITES)) ./...
	for name in $(LONG_SUITES); do \
		$(GO) test -race -count=1 -timeout 15m -run "^$$name\$$" $(shell ./tools/known-red skip-flag) ./internal/request/scheduler || exit 1; \
	done
	for name in $(CROWD_TESTS); do \
		$(GO) test -race -count=1 -timeout 15m -p 1 -run "^$$name\$$" $(shell ./tools/known-red skip-flag) ./internal/system ./platform || exit 1; \
	done

clean: ## remove build output
	rm -rf $(BIN) out

quickstart: build ## run one job on one daemon with one stand-in upstream
	@./tools/quickstart

measure: build ## compare placement policies, zones, overhead and shutdown; writes out/measure
	$(GO) build -o $(BIN)/measure ./tools/measure
	$(BIN)/measure load
	$(BIN)/measure zone
	$(BIN)/measure overhead
	$(BIN)/measure idle
	$(BIN)/measure shutdown

capacity: ## measure how memory, time and bytes grow with size; writes out/capacity
	$(GO) build -o $(BIN)/capacity ./tools/capacity
	$(BIN)/capacity

# Packages with model-based tests; "make soak" repeats all their tests.
MODELS := replication storage catalog lease claim tracker startgate admission
SOAK_SECONDS ?= 120
FUZZ_SECONDS ?= 20

soak: ## repeat the tests of the packages with model-based tests, with random seeds, for SOAK_SECONDS; prints each seed
	@./tools/soak $(SOAK_SECONDS) $(MODELS)

# The fault soak runs once with each seed from FIRST_SEED to FIRST_SEED + SEEDS - 1; a run injects
# faults for FAULT_TIME.
FIRST_SEED ?= $(shell od -An -N2 -tu2 /dev/urandom | tr -d ' ')
SEEDS ?= 5
FAULT_TIME ?= 10s
soak-processes: ## test real processes with injected faults; prints each seed and keeps the logs of failed runs in out/soak
	$(GO) test ./platform -count=1 -timeout 4h -v -run '^TestFaultSoak$$' -args -soak.first=$(FIRST_SEED) -soak.seeds=$(SEEDS) -soak.for=$(FAULT_TIME) -soak.keep=$(CURDIR)/out/soak

fuzz: ## run each native fuzz target for FUZZ_SECONDS
	@for target in $$(grep -rlE '^func Fuzz' --include=*_test.go . | xargs -n1 dirname | sort -u); do \
		for name in $$(grep -hoE '^func Fuzz[A-Za-z]+' $$target/*_test.go | sed 's/func //'); do \
			echo "$$target $$name"; $(GO) test -run XXX -fuzz "^$$name\$$" -fuzztime $(FUZZ_SECONDS)s -parallel 4 $$target || exit 1; \
		done; \
	done
