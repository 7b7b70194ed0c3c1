# Two commands do all on a fresh Debian machine: `make demo` and `make check`.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=
# Tests that run side by side; few, since some of them measure time limits on real sockets.
TEST_JOBS ?= 4

.PHONY: capacity packages build sanitize demo check format format-check lint generate fuzz-build fuzz fuzz-long

packages:
	scripts/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

sanitize: packages
	cmake -S . -B $(BUILD)-sanitize -G Ninja $(CMAKE_FLAGS) -DRAGWORTCOVE_SANITIZE=ON > /dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)

# Runs the whole path on this machine: stand-ins, three daemons, a mixed load, two kills.
demo: build
	scripts/demo $(BUILD)

# The known failures are printed, so that nobody takes a green run for more than it is.
check: format-check build lint sanitize
	scripts/check-platform-names
	cat KNOWN-RED.txt
	cd $(BUILD)-sanitize && ctest --output-on-failure -j $(TEST_JOBS) --timeout 300
	cd $(BUILD) && ctest --output-on-failure -j $(TEST_JOBS) --timeout 300

fuzz-build: packages
	cmake -S . -B $(BUILD)-fuzz -G Ninja -DRAGWORTCOVE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++-14 > /dev/null
	cmake --build $(BUILD)-fuzz -j $(JOBS) --target fuzzers

# A short run with a fixed seed, and a longer one by command.
fuzz: fuzz-build
	scripts/fuzz $(BUILD)-fuzz 5000

fuzz-long: fuzz-build
	scripts/fuzz $(BUILD)-fuzz 2000000

format:
	scripts/list-sources | xargs clang-format-14 -i

format-check: packages
	scripts/list-sources | xargs clang-format-14 --dry-run --Werror

# The fuzz targets are built by clang in a folder of their own and are not linted.
lint: build
	scripts/list-sources | grep '\.cpp$$' | grep -v '^fuzz/' | xargs -P $(JOBS) -n 2 clang-tidy-14 -p $(BUILD) --quiet

# Prints the slopes that docs/CAPACITY.md is worked out from.
capacity: build
	$(BUILD)/ragwortcove-bench capacity 9 25 50 100 200

# Generated code is committed; only a change of a .proto file needs this.
generate:
	scripts/generate
