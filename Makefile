# One target a job. "make run" and "make test" are all the set-up there is.

GO ?= go
SECONDS ?= 60

# Tests that are known to fail, one line each: test, cause, issue. They are passed
# over and printed; all others must pass.
RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP := $(if $(RED),-skip '^($(RED))$$')

# Ends tests that hang. Simulated fleets under the race detector take minutes of processor time,
# and more than go test's ten minutes on a busy machine.
LIMIT := -timeout 30m

.PHONY: build run run-routes test check tools red unit integration bench measure ablation capacity verify setup generate soak soak-chat fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

# Three routers with stand-ins of everything around them, in one process.
run: build
	./bin/croftyard demo

# The same for routers that serve routes, see docs/ROUTES.md.
run-routes: build
	./bin/croftyard demo --routes

test: setup check unit integration verify red

# What is passed over, to be read with the result.
red:
	@if [ -s KNOWN-RED.txt ]; then echo 'known red, passed over:'; cat KNOWN-RED.txt; fi

check:
	@unformatted=$$(gofmt -l . | grep -v '\.pb\.go$$' || true); \
	if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	$(GO) vet ./... ./test/...
	cd test && $(GO) tool staticcheck github.com/croftyard/croftyard/... ./...

# gopls, for renames that every use follows: bin/gopls rename -w FILE:LINE:COLUMN NEWNAME
tools:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@v0.23.0

unit:
	$(GO) test -race $(LIMIT) $(SKIP) ./...

# Real router processes against stand-ins.
integration:
	$(GO) test -race $(LIMIT) $(SKIP) ./test/...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./pkg/... ./internal/...
	$(GO) test -run '^$$' -bench . -benchmem ./test/integration/

# What each mechanism is worth on a site: make ablation BENCH=... SITE=... DAYS=a,b,
# SMALL=1 for the small twins of large days.
ablation:
	$(GO) run ./test/ablation --bench $(BENCH) --site $(SITE) --days $(DAYS) $(if $(SMALL),--small)

# The policies side by side; FULL=1 adds 1,520 engines, JSON=1 prints objects.
measure:
	$(GO) run ./test/measure $(if $(FULL),--full) $(if $(JSON),--json)

# Slopes for docs/CAPACITY.md.
capacity:
	$(GO) run ./test/capacity
	$(GO) test -run '^$$' -bench 'MemoryOfStreams|IdleRouter' -benchtime 1x ./test/integration
	$(GO) test -run '^$$' -bench 'AddedTime|StreamedTokens' -benchtime 400x ./test/integration
	$(GO) test -run '^$$' -bench Exchange ./internal/peer

# The core protocol, checked exhaustively, and its mutants.
verify: setup
	spec/verify.sh

# Spin is the one tool that is no Go module.
setup:
	@command -v spin >/dev/null && command -v cc >/dev/null || \
	{ apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev; }

# Routers of routes under seeded faults, real processes: make soak SEEDS=50 SECONDS=20,
# from FIRST=seed on or drawn afresh. Logs of what fails stay in LOGS.
SEEDS ?= 50
soak: SECONDS = 20
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(SECONDS) SOAK_FIRST=$(FIRST) SOAK_LOGS=$(LOGS) $(GO) test -count=1 -run TestFreshSeeds -v -timeout 2h ./test/soak

# Requests, streams and edits of the chat interface under random faults.
soak-chat:
	SOAK_SECONDS=$(SECONDS) $(GO) test -count=1 -run TestSoak -v -timeout 30m ./test/integration

FUZZTIME ?= 10s
fuzz:
	$(GO) test -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZTIME) ./pkg/placement
	$(GO) test -run '^$$' -fuzz FuzzSplit -fuzztime $(FUZZTIME) ./pkg/policy
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/settings
	$(GO) test -run '^$$' -fuzz FuzzChat -fuzztime $(FUZZTIME) ./internal/edge
	$(GO) test -run '^$$' -fuzz FuzzRest -fuzztime $(FUZZTIME) ./internal/retryafter
	$(GO) test -run '^$$' -fuzz FuzzDigest -fuzztime $(FUZZTIME) ./internal/peer
	$(GO) test -run '^$$' -fuzz FuzzDatagram -fuzztime $(FUZZTIME) ./internal/gossip
	$(GO) test -run '^$$' -fuzz FuzzKnowledge -fuzztime $(FUZZTIME) ./internal/gossip
	$(GO) test -run '^$$' -fuzz FuzzEntry -fuzztime $(FUZZTIME) ./platform
	$(GO) test -run '^$$' -fuzz FuzzConfiguration -fuzztime $(FUZZTIME) ./platform
	$(GO) test -run '^$$' -fuzz FuzzEvacuation -fuzztime $(FUZZTIME) ./platform

# Generated code is committed; this makes it anew.
generate:
	cd internal/peer/peerpb && protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
	cd internal/gossip/gossippb && protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. gossip.proto

clean:
	rm -rf bin spec/build
