GO ?= go
.PHONY: all build lint test race demo bench soak gopls

all: build

build:
	$(GO) build -o bin/kingcupwood ./cmd/kingcupwood

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: build lint
	$(GO) test -timeout 20m ./...

race:
	$(GO) test -race -timeout 30m ./...

demo: build
	$(GO) run ./tools/demo -binary bin/kingcupwood

bench: build
	$(GO) run ./tools/bench -binary bin/kingcupwood

# A seed that fails goes to tests/soak/regressions_test.go, its logs to bin/soak.
soak:
	$(GO) test ./tests/soak -run TestSoak -timeout 60m -parallel 3 -soak.seeds 50 -soak.length 20s -soak.keep $(CURDIR)/bin/soak

# gopls renames identifiers with all their uses. Its module file is its own, so that the product does not depend on it.
gopls:
	$(GO) build -modfile=tools/rename.mod -o bin/ golang.org/x/tools/gopls
