GO ?= go
.PHONY: all build lint test race demo bench

all: build

build:
	$(GO) build -o bin/kingcupwood ./cmd/kingcupwood

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: build lint
	$(GO) test ./...

race:
	$(GO) test -race ./...

demo: build
	$(GO) run ./tools/demo -binary bin/kingcupwood

bench: build
	$(GO) run ./tools/bench -binary bin/kingcupwood
