# Entry points for developers and CI. The build itself is described in CMakeLists.txt.
BUILD ?= build
JOBS ?= 8
PREFIX ?= /usr/local
DESTDIR ?=

.PHONY: all build check install pages lint format demo prove soak bench capacity measure

all: build

$(BUILD)/build.ninja:
	scripts/install-dependencies
	cmake -G Ninja -S . -B $(BUILD)

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

check: build
	scripts/check-install $(BUILD)
	scripts/check-metrics
	scripts/check-docs $(BUILD)
	scripts/run-tests $(BUILD) $(JOBS)

install: build
	DESTDIR=$(DESTDIR) cmake --install $(BUILD) --prefix $(PREFIX)

lint: build
	scripts/lint $(BUILD)

format:
	find src platform -name '*.cpp' -o -name '*.hpp' | xargs clang-format -i

DEPLOYMENT ?= varjuvork

demo: build
	scripts/demo --build $(BUILD) --deployment $(DEPLOYMENT) $(if $(HOLD),--hold)

# Fault scenarios with real processes on loopback; SEED selects the random seed.
prove: build
	scripts/prove --build $(BUILD) --seed $(or $(SEED),1)

# Randomized faults against real entries of the users' platform; SEEDS=1-50 selects the seeds.
soak: build
	tests/soak/soak --build $(BUILD) --seeds $(or $(SEEDS),$(shell date +%s)) --jobs 3
	tests/soak/soak --build $(BUILD) --regressions

bench: build
	$(BUILD)/src/policy_bench --json $(BUILD)/policy_bench.json

# The commands of docs/operators.md, run against a deployment on loopback.
pages: build
	scripts/check-pages --build $(BUILD)

# Growth of the cost of the control plane with size; the source of docs/CAPACITY.md.
capacity: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS) --target capacity_bench
	$(BUILD)/src/capacity_bench --json $(BUILD)/capacity_bench.json

# Added latency of an entry, and its cost idle and under load, on loopback.
measure: build
	scripts/measure --build $(BUILD) --deployment $(DEPLOYMENT)
