# Development commands. `make demo` and `make test` need only Go.

GO ?= go
GOLANGCI_LINT_VERSION := v2.12.2
GOPLS_VERSION := v0.23.0
TOOLS := $(CURDIR)/.tools
PACKAGES := ./...

# A failing part of a pipe fails its target.
SHELL := /bin/bash
.SHELLFLAGS := -o pipefail -c

.PHONY: build build-platform test lint format demo matrix measure bench soak generate tools

build:
	$(GO) build -o bin/ . ./standin/foxtailspool-standin ./demonstrator/foxtailspool-demo

# Builds what the users' platform runs, with its own build line.
build-platform:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Plays the standard days of a site with the users' bench, whose program BENCH
# names. The site's file is in one of the folders of the deployments below KIT. A large
# day takes two cores or more: play one at a time with JOBS=1.
#   make bench SITE=cuentas-mvd WHY="what is being tried"
KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
SITE ?= cuentas-mvd
SITE_FILE = $(firstword $(wildcard $(foreach folder,sites grown further further-grown large,$(KIT)/$(folder)/$(SITE).toml)))
JOBS ?= 3
WHY ?= standard days
bench:
	@if [ -x "$(BENCH)" ]; then \
	  "$(BENCH)" score "$(SITE_FILE)" --jobs $(JOBS) --why "$(WHY)"; \
	else \
	  echo "make bench: the users' bench is not at $(BENCH); nothing was measured"; \
	fi

# Shows the whole path on loopback, each part in a process of its own.
demo: build
	bin/foxtailspool-demo --bin bin

# Every package runs under the race detector; of the fault matrix, which takes
# minutes of processor time, the cells of one step do, and all cells without it. The
# fleets of starter run without it in virtual time, and with it as real processes in
# the soak: the detector's state for the timers of a synctest bubble is used by several
# threads at once (Go 1.26.8), and with ten nodes in one bubble that ends the test
# binary in every second run.
test:
	$(GO) test -race $$($(GO) list $(PACKAGES) | grep -vE '/(prover|starter)$$')
	$(GO) test -timeout 30m ./starter -soak-race
	$(GO) test -timeout 30m ./prover ./publisher
	MATRIX_ONLY=@mid-stream $(GO) test -race -timeout 30m -run TestMatrix ./prover

tools: $(TOOLS)/golangci-lint $(TOOLS)/gopls

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(TOOLS)/gopls:
	GOBIN=$(TOOLS) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# The linter's cache keeps the paths of the checkout that filled it, and a result
# read from it for a checkout since removed loses the file's exclusions; so each
# checkout has a cache of its own.
lint: export GOLANGCI_LINT_CACHE := $(TOOLS)/lint-cache
lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt --diff
	$(TOOLS)/golangci-lint run

format: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt

# Runs real nodes as processes with faults from outside, SEEDS seeds from FIRST on;
# LOGS names a folder that keeps the nodes' logs.
SEEDS ?= 50
FIRST ?= 1
LOGS ?=
soak:
	$(GO) test ./starter -count=1 -run TestSoak -timeout 60m -parallel 4 -soak-seeds $(SEEDS) -soak-first $(FIRST) -soak-logs "$(LOGS)"

# Regenerates the committed protobuf and twirp code; needs protoc and its Go plug-ins.
generate:
	for f in $$(git ls-files '*.proto'); do \
	  protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. $$f || exit 1; \
	done

# Compares the placement policy with its baselines in virtual time; needs only Go.
measure:
	$(GO) run ./measurer/foxtailspool-measure

# Proves every cell of the fault matrix and prints a row for each.
matrix:
	$(GO) test -count=1 -v -run 'TestMatrix|TestKeys|TestRequests|TestFaultsTogether|TestProcesses' ./prover | grep -vE '^ *(===|---) |"event":|^ *(fleet|\S+_test)\.go:.* ended: '
