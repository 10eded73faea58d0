# Builds burdockdale, its tests and its benchmarks.  `make help` lists the
# targets.

BUILD ?= build
CC = gcc
CXX = g++
PKGS = talloc tevent msgpack libmicrohttpd libcurl argtable2 glib-2.0 jansson \
       libxxhash gsl
OPT ?= -O2 -g
SAN ?=
# Expanded on first use and then cached: pkg-config works only after the deps
# target has installed the packages.
PKG_CFLAGS = $(eval PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS)))$(PKG_CFLAGS)
PKG_LIBS = $(eval PKG_LIBS := $(shell pkg-config --libs $(PKGS)))$(PKG_LIBS)
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
       -Wpointer-arith -Wvla -Werror
CFLAGS = -std=gnu17 $(OPT) $(SAN) $(WARN) -D_GNU_SOURCE -Isrc -I. $(PKG_CFLAGS)
CXXFLAGS = -std=c++17 $(OPT) $(SAN) -Wall -Wextra -Werror -Isrc -I. $(PKG_CFLAGS)
LIBS = $(PKG_LIBS) -lm -lstdc++
# Of these the program needs little.  As shared libraries they take 3 MB of
# resident memory at start and 1 MB later.  The sanitizers need them shared.
STATIC_LIBS = gsl gslcblas stdc++
PROGRAM_LIBS = $(if $(SAN),$(LIBS),-static-libgcc -Wl,--as-needed -Wl,-z,now \
  $(foreach lib,$(LIBS),$(if $(filter $(STATIC_LIBS:%=-l%),$(lib)),$(lib:-l%=-l:lib%.a),$(lib))))

LIB_C = $(filter-out %_test.c src/cli/main.c,$(wildcard src/*/*.c platform/*.c))
LIB_CC = $(filter-out %_properties.cc,$(wildcard src/*/*.cc))
LIB_O = $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CC:%.cc=$(BUILD)/%.o)
LIB = $(BUILD)/libburdockdale.a
BIN = $(BUILD)/burdockdale
FAKES = $(BUILD)/fakes
# Fakes that are linked into the tests; the other ones form the fakes program.
LINKED_FAKES = sim pool site raw flood process caller hostile
FAKES_C = $(filter-out $(LINKED_FAKES:%=tests/fakes/%.c),$(wildcard tests/fakes/*.c))
TESTS_C = $(wildcard src/*/*_test.c)
PLATFORM_TESTS_C = $(wildcard platform/*_test.c)
TESTS = $(TESTS_C:src/%.c=$(BUILD)/tests/%) $(PLATFORM_TESTS_C:%.c=$(BUILD)/tests/%)
PROPS_CC = $(wildcard src/*/*_properties.cc)
PROPS = $(PROPS_CC:src/%.cc=$(BUILD)/tests/%)
SOAK = $(BUILD)/tests/soak/soak
UPGRADE = $(BUILD)/tests/upgrade/upgrade
BENCH_C = $(wildcard bench/*.c)
BENCHES = $(BENCH_C:%.c=$(BUILD)/%)

.PHONY: all deps help demo check test properties paths soak upgrade lint \
        format bench slopes sanitize clean build

all: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build

help:
	@echo 'make demo        build, then run the whole system on the loopback interface'
	@echo 'make check       build, tests, properties, failure paths, sanitizers, linters'
	@echo 'make test        unit tests and traces     make properties  property tests'
	@echo 'make paths       failure path tests with real processes'
	@echo 'make soak        random faults from a seed against three daemons'
	@echo 'make upgrade     daemons of an earlier build and of this one side by side'
	@echo 'make bench       benchmarks                make slopes      measurements of docs/CAPACITY.md'
	@echo 'make lint        formatter and linters     make format      apply the formatter'

deps:
	@scripts/install-deps

build: $(BIN) $(FAKES) $(TESTS) $(PROPS) $(SOAK) $(UPGRADE) $(BENCHES)

$(LIB): $(LIB_O)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(BIN): $(BUILD)/src/cli/main.o $(LIB)
	@$(CC) $(SAN) $^ -o $@ $(PROGRAM_LIBS)

$(FAKES): $(FAKES_C:%.c=$(BUILD)/%.o) $(LIB)
	@$(CC) $(SAN) $^ -o $@ $(LIBS)

LINKED_FAKES_O = $(LINKED_FAKES:%=$(BUILD)/tests/fakes/%.o)

$(BUILD)/tests/%_test: $(BUILD)/src/%_test.o $(LINKED_FAKES_O) $(LIB)
	@mkdir -p $(@D)
	@$(CC) $(SAN) $^ -o $@ $(LIBS) -lcunit

$(BUILD)/tests/platform/%_test: $(BUILD)/platform/%_test.o $(LINKED_FAKES_O) $(LIB)
	@mkdir -p $(@D)
	@$(CC) $(SAN) $^ -o $@ $(LIBS) -lcunit

$(BUILD)/tests/%_properties: $(BUILD)/src/%_properties.o $(LINKED_FAKES_O) $(LIB)
	@mkdir -p $(@D)
	@$(CXX) $(SAN) $^ -o $@ -lrapidcheck $(LIBS)

$(SOAK): $(BUILD)/tests/soak/soak.o $(LINKED_FAKES_O) $(LIB)
	@$(CC) $(SAN) $^ -o $@ $(LIBS)

$(UPGRADE): $(BUILD)/tests/upgrade/upgrade.o $(LINKED_FAKES_O) $(LIB)
	@$(CC) $(SAN) $^ -o $@ $(LIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(LINKED_FAKES_O) $(LIB)
	@$(CC) $(SAN) $^ -o $@ $(LIBS)

demo: all
	@scripts/demo $(BUILD)

test: all
	@scripts/run-tests unit $(TESTS)

properties: all
	@scripts/run-tests properties $(PROPS)

paths: all
	@scripts/run-tests paths $(sort $(filter-out %/common.sh,$(wildcard tests/paths/*.sh)))

soak: all
	@scripts/run-tests soak $(SOAK)

upgrade: all
	@scripts/run-tests upgrade tests/upgrade/run-upgrade

sanitize: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build BUILD=build/sanitize \
	  OPT='-O1 -g' SAN='-fsanitize=address,undefined -fno-omit-frame-pointer'
	@BUILD=build/sanitize scripts/run-tests sanitize \
	  $(TESTS_C:src/%.c=build/sanitize/tests/%) $(PLATFORM_TESTS_C:%.c=build/sanitize/tests/%) tests/paths/bad_input.sh \
	  tests/paths/resend_settled.sh

lint: deps
	@scripts/lint

format: deps
	@clang-format -i $(wildcard src/*/*.[ch] platform/*.[ch] src/*/*.cc tests/*/*.[ch] bench/*.[ch])

check: all lint test properties soak upgrade paths sanitize
	@scripts/run-tests total

bench: all
	@scripts/bench $(BUILD)

slopes: all
	@scripts/slopes $(BUILD)

clean:
	@rm -rf build

-include $(LIB_O:.o=.d) $(wildcard $(BUILD)/platform/*.d $(BUILD)/src/*/*.d $(BUILD)/tests/*/*.d $(BUILD)/bench/*.d)
