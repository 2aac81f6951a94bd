# Entry points for people and CI. The build itself is described in CMakeLists.txt.
BUILD ?= build
JOBS ?= 8

.PHONY: all build check lint format bench

all: build

$(BUILD)/build.ninja:
	scripts/install-dependencies
	cmake -G Ninja -S . -B $(BUILD)

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

check: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

lint: build
	scripts/lint $(BUILD)

format:
	find src -name '*.cpp' -o -name '*.hpp' | xargs clang-format -i

bench: build
	$(BUILD)/src/policy_bench --json $(BUILD)/policy_bench.json
