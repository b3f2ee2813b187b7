# Two commands matter to a newcomer: "make demo" and "make test". Both need Go
# and make, and nothing else.

GO ?= go
FOLDERS := cmd connection lab platform process request version
DEMO_DEPLOYMENT ?= radarvlak
DEMO_TIME ?= 25s
DEMO_RATE ?= 3

.PHONY: build demo test check pages race clean

build:
	$(GO) build -o bin/ ./cmd/landingtrail ./cmd/landingtrail-lab

# A whole deployment on this machine for a bounded time, with a summary.
demo: build
	bin/landingtrail-lab fleet --deployment $(DEMO_DEPLOYMENT) --for $(DEMO_TIME) --rate $(DEMO_RATE)

# What CI runs.
test: check
	GO="$(GO)" bash .ci/test

check:
	@unformatted="$$(gofmt -l $(FOLDERS))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The pages of docs that are made from the code; tests keep them equal.
pages: build
	bin/landingtrail-lab page events >docs/EVENTS.md
	bin/landingtrail-lab page settings >docs/SETTINGS.md

# The same tests with the race detector, which needs a C compiler.
race:
	$(GO) test -race -timeout 20m ./...

clean:
	rm -rf bin
