GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PROTOS = $(wildcard proto/peer/v1/*.proto proto/etcd/*/*.proto)

# FUZZTIME is the run time of each fuzz target, FUZZPARALLEL its number of workers.
FUZZTIME ?= 30s
FUZZPARALLEL ?= 3
BENCH_JSON ?= out/bench-placement.json

.PHONY: build programs test demo bench bench-path quota-bench faults model capacity fuzz fmt lint proto

build: ## Build every package.
	$(GO) build ./...

programs: ## Build the daemon, the command-line tool and the stand-ins into bin/.
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

demo: programs ## Run the main functions of the router on loopback, in under a minute.
	$(GO) run ./test/demo

bench-path: programs ## Measure the time to first token and the memory per stream that the router adds.
	$(GO) run ./test/benchpath

test: ## Run all tests.
	$(GO) test -timeout 20m $(TESTFLAGS) ./...

faults: ## Inject each fault at each step into fleets of complete hosts, and print the checks.
	$(GO) test -count=1 -v ./test/faults -args -ginkgo.v -ginkgo.no-color

fmt: ## Format the tree.
	$(LINT) fmt

lint: ## Check formatting and run the linters.
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners

proto: ## Regenerate the committed protobuf code; needs protoc and the two Go plugins.
	protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative $(PROTOS)

fuzz: ## Run each fuzz target for FUZZTIME, one after the other.
	@set -e; $(GO) list ./internal/... | while read -r pkg; do \
		$(GO) test -list '^Fuzz' "$$pkg" | grep '^Fuzz' | while read -r target; do \
			echo "$$pkg $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) -parallel $(FUZZPARALLEL) "$$pkg"; \
		done; \
	done

bench: ## Compare placement with the baselines; prints a table and writes BENCH_JSON.
	@mkdir -p out
	$(GO) test ./test/bench -count=1 -run 'TestPlacementBench$$' -v -placement.full -placement.json=$(abspath $(BENCH_JSON))

quota-bench: ## Measure wrongful refusals, overshoot and control traffic of the quota service.
	$(GO) run ./test/quotabench
	$(GO) test -run '^$$' -bench Reserve -benchmem ./internal/quota
model: ## Check the Promela models; installs spin if it is missing.
	spec/check.sh

CAPACITY_GROUPS = parts workspaces load hosts replacement

.PHONY: $(CAPACITY_GROUPS:%=capacity-%)

capacity: ## Measure how the cost of the control plane scales; prints tables and writes out/GROUP.json.
	@mkdir -p out
	$(MAKE) -j --output-sync=target $(CAPACITY_GROUPS:%=capacity-%)

$(CAPACITY_GROUPS:%=capacity-%): capacity-%:
	$(GO) test ./test/capacity -count=1 -timeout 170s -run 'TestCapacity$$' -v -capacity.full -capacity.only=$* -capacity.json=$(abspath out/$*.json)

SOAK_SEEDS ?= 50
SOAK_PARALLEL ?= 3

.PHONY: soak

soak: ## Inject random faults into fleets of separate processes, with SOAK_SEEDS new seeds; keeps the logs of failed runs.
	@mkdir -p out/soak
	$(GO) test ./test/soak -count=1 -v -timeout 60m -run 'TestSoak$$' -args -soak.seeds=$(SOAK_SEEDS) -soak.parallel=$(SOAK_PARALLEL) -soak.logs=$(abspath out/soak)
