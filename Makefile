# Build, test and measurement targets. Only Go, make, git and a C compiler are needed.
export CGO_ENABLED = 1
TOOLS := $(CURDIR)/.tools/bin
BIN := $(CURDIR)/bin
GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2
GOPLS_VERSION := v0.21.1

.PHONY: build run test soak bench lint capacity generate tools

build:
	go build -o $(BIN)/ ./cmd/... ./test/standin/cmd/... ./test/load/...

run: build
	./test/run/run.sh

# The failure tests measure times, so they don't share the machine with others.
test:
	go test $$(go list ./... | grep -v -e /test/e2e$$ -e /test/soak$$)
	go test ./test/e2e
	go test ./test/soak

# Plays fresh seeds, or those that SEED and SEEDS name.
SEED ?= 0
SEEDS ?= 5
soak: build
	go run ./test/soak --binary $(BIN)/rudderd --seed $(SEED) --seeds $(SEEDS)

bench:
	go run ./test/bench

capacity:
	go run ./test/capacity

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run ./...
	$(TOOLS)/golangci-lint fmt --diff ./...

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

tools: $(TOOLS)/golangci-lint
	GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(TOOLS) go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

generate: tools
	PATH=$(TOOLS):$$PATH buf generate
