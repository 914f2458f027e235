GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PROTOS = $(wildcard proto/peer/v1/*.proto proto/etcd/*/*.proto)

.PHONY: build test fmt lint proto model

build: ## Build every package.
	$(GO) build ./...

test: ## Run all tests.
	$(GO) test $(TESTFLAGS) ./...

fmt: ## Format the tree.
	$(LINT) fmt

lint: ## Check formatting and run the linters.
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners

proto: ## Regenerate the committed protobuf code; needs protoc and the two Go plugins.
	protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative $(PROTOS)

model: ## Check the Promela models; installs spin when it is missing.
	spec/check.sh
