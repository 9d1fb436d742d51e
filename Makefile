# The one entrance: `make setup build` prepares a fresh machine, `make test`
# passes the tests, `make demo` runs the main job.

LINT_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
PACKAGES := ./...

.PHONY: setup build test prove soak vet lint format generate check demo mesh bench scale clean

setup: $(TOOLS)/golangci-lint
	go mod download

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

build:
	go build -o bin/ ./cmd/...

# SKIP leaves tests out, as CI does with those of KNOWN-RED.txt.
test:
	go test -race $(if $(SKIP),-skip '$(SKIP)') $(PACKAGES)

# The trials with what depends on the speed of the host; run it on a quiet one.
prove:
	TRIALS_TIMED=1 go test -count=1 ./internal/proof

# Random faults against real processes, as in `make soak SOAK_SEEDS="4 5 6"`.
SOAK_SEEDS := 1 2 3 4 5 6 7 8
soak:
	for seed in $(SOAK_SEEDS); do \
		SOAK_SEED=$$seed go test -count=1 -run 'TestTrials/^soak$$' ./internal/proof || exit 1; \
	done

vet:
	go vet $(PACKAGES)

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt --diff
	$(TOOLS)/golangci-lint run

format: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt

# Needs protoc 27 or later, which knows editions, and the two generators on PATH; what it makes
# is committed.
generate:
	protoc --proto_path=internal/relaypb --go_out=internal/relaypb --go_opt=paths=source_relative \
		--connect-go_out=internal/relaypb --connect-go_opt=paths=source_relative,simple=false relay.proto

check: build vet lint test

demo: build
	scripts/demo.sh

mesh: build
	scripts/mesh.sh

# As in `make bench SEEDS="3 4 5" RUNS=1 TRACES="slow both" FORMER=<commit>`.
bench: build
	scripts/bench.sh $(SEEDS:%=--seed %) $(TRACES:%=--trace %) $(FIRMS:%=--firm %) \
		$(RUNS:%=--runs %) $(FORMER:%=--former %)

# The control cost of nodes without calls; larger sizes need a quiet host.
SIZES := 24 60 120
scale: build
	scripts/scale.sh $(SIZES)

clean:
	rm -rf bin run
