# Targets of mangostand. `make check` is what CI runs.

GO      ?= go
BIN     := build
TOOLS   := $(GO) tool -modfile=tools/go.mod
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)
SITE    ?= thies
# Tests with a known fault that is recorded in KNOWN-RED.txt, as a -skip pattern.
RED     := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)

.PHONY: build fmt lint vet test check model quickstart quickstart-platform soak site fuzz faults bench bench-quick capacity clean

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./cmd/...

# Fails when a file is not formatted.
fmt:
	@unformatted=$$(gofmt -l cmd pkg platform examples bench test); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(TOOLS) staticcheck ./...
	$(TOOLS) errcheck -exclude tools/errcheck-exclude.txt ./...

# The whole suite with the race detector. Known faults are printed and skipped.
test:
	@sed -n 's/^test: */known red, skipped: /p' KNOWN-RED.txt
	$(GO) test -race $(if $(RED),-skip '$(RED)') ./...

check: fmt vet lint test model soak

# Runs a site in small on this machine: make quickstart SITE=great-lakes.
quickstart: build
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./examples/quickstart
	@$(BIN)/quickstart --site $(SITE) --bin $(BIN) --examples examples

# Runs the path of the users' platform in small; takes about 20 s.
quickstart-platform: build
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./examples/quickstart-platform
	@$(BIN)/quickstart-platform --binary $(BIN)/mangostandd

# Injects faults into node processes from outside; SOAK passes options, see
# `build/soak --help`. The default takes under 2 min.
SOAK ?= --first 1 --seeds 2
soak: build
	$(GO) build -o $(BIN)/ ./test/soak
	@$(BIN)/soak --binary $(BIN)/mangostandd $(SOAK)

# Checks the specifications in model/ (docs/model.md); takes about 1 min.
model:
	@command -v spin >/dev/null || { apt-get update && apt-get install -y spin; }
	model/run.sh

# Compares the selection policies; results go to bench/results. BENCH passes
# options, see `go run ./bench --help`.
bench:
	$(GO) run ./bench $(BENCH)

# A subset of about 2 minutes.
bench-quick:
	$(GO) run ./bench --quick $(BENCH)

# Runs the rows of the fault matrix (docs/faults.md) and prints a line for each:
# first in process, then with real processes; takes about 2 min.
faults: SHELL := bash
faults: .SHELLFLAGS := -o pipefail -c
faults: build
	$(GO) test ./pkg/faultmatrix ./pkg/atmostonce -run '^(TestPageNamesTests|TestMatrixIsComplete|TestFaultAtEachStep|TestPairsOfFaults)$$' -count=1 -v | grep -v '^=== '
	MANGOSTAND_BIN=$(CURDIR)/$(BIN) $(GO) test -tags processes ./test/processes -count=1 -v -timeout 5m | grep -v '^=== '

clean:
	rm -rf $(BIN)

# Starts a site and leaves it running until an interrupt.
site: build
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./examples/quickstart
	@$(BIN)/quickstart --site $(SITE) --bin $(BIN) --examples examples --hold

FUZZTIME ?= 10s

# Fuzzes each decoder for a short time. go test runs the seeds anyway.
fuzz:
	$(GO) test ./pkg/wire -run '^$$' -fuzz '^FuzzReadFrame$$' -fuzztime $(FUZZTIME) -parallel 4
	$(GO) test ./pkg/httpfront -run '^$$' -fuzz '^FuzzParseRequest$$' -fuzztime $(FUZZTIME) -parallel 4
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzDecodeTable$$' -fuzztime $(FUZZTIME) -parallel 4
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzDecodeHeartbeat$$' -fuzztime $(FUZZTIME) -parallel 4
	$(GO) test ./pkg/routedoc -run '^$$' -fuzz '^FuzzDecompress$$' -fuzztime $(FUZZTIME) -parallel 4
	$(GO) test ./pkg/localapi -run '^$$' -fuzz '^FuzzParseAnnouncement$$' -fuzztime $(FUZZTIME) -parallel 4

# Measures the cost of a node against the size of the fleet, with up to 200 node
# processes; takes about 3 min (docs/CAPACITY.md). CAPACITY_ARGS adds options:
# make capacity CAPACITY_ARGS="--sizes 10,40 --window 10s", or --platform for
# nodes on the users' platform.
capacity: build
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./bench/capacity
	@$(BIN)/capacity --bin $(BIN) $(CAPACITY_ARGS)
