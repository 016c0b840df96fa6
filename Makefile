# Targets of mangostand. `make check` is what CI runs.

GO      ?= go
BIN     := build
TOOLS   := $(GO) tool -modfile=tools/go.mod
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)
SITE    ?= thies
# Tests with a known fault that is recorded in KNOWN-RED.txt, as a -skip pattern.
RED     := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)

.PHONY: build fmt lint vet test check clean

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./cmd/...

# Fails when a file is not formatted.
fmt:
	@unformatted=$$(gofmt -l cmd pkg bench); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(TOOLS) staticcheck ./...
	$(TOOLS) errcheck -exclude tools/errcheck-exclude.txt ./...

# The whole suite with the race detector. Known faults are printed and skipped.
test:
	@sed -n 's/^test: */known red, skipped: /p' KNOWN-RED.txt
	$(GO) test -race $(if $(RED),-skip '$(RED)') ./...

check: fmt vet lint test

# Compares the selection policies; results go to bench/results. BENCH passes
# options, see `go run ./bench --help`.
bench:
	$(GO) run ./bench $(BENCH)

# A subset of about 2 minutes.
bench-quick:
	$(GO) run ./bench --quick $(BENCH)

clean:
	rm -rf $(BIN)
