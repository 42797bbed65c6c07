# One target a job. "make run" and "make test" are all the set-up there is.

GO ?= go
SECONDS ?= 60

.PHONY: build run test check unit integration bench measure capacity verify setup generate soak fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

# Three routers with stand-ins of everything around them, in one process.
run: build
	./bin/croftyard demo

test: check unit integration

check:
	@unformatted=$$(gofmt -l . | grep -v '\.pb\.go$$' || true); \
	if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	$(GO) vet ./... ./test/...
	cd test && $(GO) tool staticcheck github.com/croftyard/croftyard/... ./...

unit:
	$(GO) test -race ./...

# Real router processes against stand-ins.
integration:
	$(GO) test -race ./test/...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./pkg/... ./internal/...
	$(GO) test -run '^$$' -bench . -benchmem ./test/integration/

# The policies side by side; FULL=1 adds 1,520 engines, JSON=1 prints objects.
measure:
	$(GO) run ./test/measure $(if $(FULL),--full) $(if $(JSON),--json)
