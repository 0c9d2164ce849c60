# Two commands for a fresh machine, and the ones a developer uses.
BUILD ?= build
JOBS  ?= $(shell nproc)

.PHONY: packages build demo check bench report lint format schedules soak

packages:
	@./scripts/install_packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@rm -f $(BUILD).log
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@./scripts/demo.sh $(BUILD)
	@./scripts/demo_proxy.sh $(BUILD)

check: build
	@./scripts/run_tests.sh $(BUILD)

bench: build
	@$(BUILD)/bench/camphorrail_bench
	@./scripts/bench_entry.sh $(BUILD)

report: build
	@./scripts/report.sh $(BUILD)

schedules: build
	@$(BUILD)/tests/camphorrail_tests "[schedule]"

# Fresh seeds each time; SEED and COUNT choose others.
SEED  ?= $(shell date +%s)
COUNT ?= 8

soak: build
	@./scripts/soak.sh $(BUILD) $(SEED) $(COUNT)

lint: build
	@./scripts/lint.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i
