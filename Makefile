# Entry points for people and for CI. `make demo` and `make test` do all set-up themselves.
DEPLOYMENT ?= trasa
BUILD ?= build
# One group of measurements (blocks, decisions, control, steering, quotas, limits, path,
# spread, policy) or all.
BENCH ?= all
# One failure run by name, short or all.
CASE ?= all
# The soak's first seed, number of seeds, and options such as --timed.
SEED ?= 1
RUNS ?= 50
SOAK_FLAGS ?=
JOBS ?= $(shell nproc)

PACKAGES = g++ cmake ninja-build pkg-config ccache clang-format clang-tidy \
  librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev libgrpc++-dev libprotobuf-dev prometheus-cpp-dev \
  libtclap-dev libgoogle-glog-dev libcurl4-openssl-dev nlohmann-json3-dev \
  libcriterion-dev libxxhash-dev

.PHONY: install build test wire-names unit demo bench prove soak format lint check-examples clean

install:
	@scripts/install_packages.sh $(PACKAGES)

build: install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build format lint wire-names unit check-examples

unit:
	@scripts/known_red.sh print KNOWN-RED.txt
	@cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	@$(BUILD)/demo --deployment $(DEPLOYMENT) --examples examples

bench: build
	@$(BUILD)/bench_all $(BENCH)

prove: build
	@$(BUILD)/prove $(CASE)

soak: build
	@$(BUILD)/soak --program $(BUILD)/sorrelplank --seed $(SEED) --runs $(RUNS) $(SOAK_FLAGS)

format:
	@git ls-files 'src/*.h' 'src/*.cc' 'platform/*' 'standin/*' 'tests/*' 'trial/*' 'bench/*' 'soak/*' | grep -E '\.(h|cc)$$' | grep -v '\.pb\.' | xargs clang-format --dry-run --Werror

lint:
	@scripts/lint.sh $(BUILD) $(JOBS)

wire-names:
	@scripts/check_wire_names.sh

check-examples:
	@$(BUILD)/sorrelplank check examples/trasa
	@$(BUILD)/sorrelplank check examples/porttivuoro

clean:
	rm -rf $(BUILD)
