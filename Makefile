# bitternglade: plain make.  Targets: all demo check lint asan tsan bench.
BUILD ?= build
CC = gcc
PKGS = glib-2.0 jansson libcurl libcrypto liburcu-bp libprotobuf-c libxxhash
CFLAGS ?= -O2 -g
CFLAGS_ALL = -std=gnu11 -Wall -Wextra -Werror -D_GNU_SOURCE -Isrc \
	$(shell pkg-config --cflags $(PKGS)) $(CFLAGS) $(SAN)
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lcivetweb -lev -lhttp_parser \
	-lpthread -lm

LIB_SRC = $(filter-out src/main_%.c,$(wildcard src/*.c))
PF_SRC = $(wildcard platform/*.c)
LIB_OBJ = $(LIB_SRC:src/%.c=$(BUILD)/%.o) $(PF_SRC:platform/%.c=$(BUILD)/%.o)
BINS = $(patsubst src/main_%.c,$(BUILD)/bglade-%,$(wildcard src/main_*.c))
UNITS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/unit_*.c))
SCRIPTS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/script_*.c))
BENCHES = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/bench_*.c))
PROGS = $(subst bglade-client,bglade,$(BINS))
APT = gcc make pkg-config python3 libcivetweb-dev libcurl4-openssl-dev \
	liburcu-dev libprotobuf-c-dev libglib2.0-dev libjansson-dev \
	libxxhash-dev libssl-dev libev-dev libhttp-parser-dev \
	protobuf-c-compiler libcunit1-dev python3-hypothesis \
	python3-pytest python3-pytest-xdist clang-format clang-tidy cppcheck

all: $(PROGS) $(UNITS) $(SCRIPTS) $(BUILD)/redirect.so $(BUILD)/slow_start.so $(BUILD)/slow_clock.so \
	$(BUILD)/former_frames.so

$(BUILD)/%.o: src/%.c
	@mkdir -p $(BUILD)
	@echo CC $@
	@$(CC) $(CFLAGS_ALL) -MMD -c $< -o $@

$(BUILD)/%.o: platform/%.c
	@mkdir -p $(BUILD)
	@echo CC $@
	@$(CC) $(CFLAGS_ALL) -MMD -c $< -o $@

$(BUILD)/libbglade.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/bglade: $(BUILD)/main_client.o $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

$(BUILD)/bglade-%: $(BUILD)/main_%.o $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

$(BUILD)/unit_%: tests/unit_%.c $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -MMD -o $@ $< $(BUILD)/libbglade.a $(LDLIBS) -lcunit

$(BUILD)/script_%: tests/script_%.c $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -MMD -o $@ $< $(BUILD)/libbglade.a $(LDLIBS)

$(BUILD)/fuzz_%: tests/fuzz_%.c $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -MMD -o $@ $< $(BUILD)/libbglade.a $(LDLIBS)

# Programs of tests that need the sanitizers always.
SANITIZERS = -fsanitize=address,undefined,float-cast-overflow \
	-fno-sanitize-recover=all -fno-omit-frame-pointer
sanitized:
	@$(MAKE) BUILD=$(BUILD)/sanitized SAN="$(SANITIZERS)" \
		$(BUILD)/sanitized/fuzz_decoders

$(BUILD)/%.so: tests/%.c
	@mkdir -p $(BUILD)
	@echo LD $@
	@$(CC) -std=gnu11 -Wall -Wextra -Werror -D_GNU_SOURCE -O2 -shared -fPIC \
		-o $@ $< -ldl

$(BUILD)/bench_%: tests/bench_%.c $(BUILD)/libbglade.a
	@echo LD $@
	@$(CC) $(CFLAGS_ALL) -MMD -o $@ $< $(BUILD)/libbglade.a $(LDLIBS)

.PRECIOUS: $(BUILD)/%.o

# The generated code is committed; run this only after a change of a .proto file.
proto:
	cd src && protoc-c --c_out=. bglade.proto gateway.proto

install-packages:
	apt-get update -q && DEBIAN_FRONTEND=noninteractive \
		apt-get install -q -y $(APT)

demo: install-packages
	$(MAKE) all
	/usr/bin/python3 tests/demo.py --build $(BUILD)

check: all sanitized
	/usr/bin/python3 tests/run_all.py --build $(BUILD)

HAND = $(filter-out %.pb-c.c,$(wildcard src/*.c)) $(PF_SRC) \
	$(wildcard tests/*.c)
HAND_H = $(filter-out %.pb-c.h,$(wildcard src/*.h)) \
	$(wildcard platform/*.h) \
	$(wildcard tests/*.h)

lint:
	clang-format --dry-run -Werror $(HAND) $(HAND_H)
	printf '%s\n' $(HAND) | xargs -P 8 -I{} \
		clang-tidy --quiet {} -- $(CFLAGS_ALL)
	cppcheck -q --std=c11 --error-exitcode=1 -j 8 --inline-suppr \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem -Isrc $(HAND)

format:
	clang-format -i $(HAND) $(HAND_H)

asan:
	$(MAKE) check BUILD=build/asan \
		SAN="-fsanitize=address,undefined -fno-omit-frame-pointer"

tsan:
	G_SLICE=always-malloc \
	TSAN_OPTIONS="suppressions=$(CURDIR)/tests/tsan.supp" \
	$(MAKE) check BUILD=build/tsan SAN="-fsanitize=thread"

# make soak SEED=7, SEEDS=1-50 or MINUTES=5 (fresh seeds).
soak: all
	/usr/bin/python3 tests/soak.py --build $(BUILD) $(if $(SEED),--seed $(SEED)) \
		$(if $(SEEDS),--seeds $(SEEDS)) $(if $(MINUTES),--minutes $(MINUTES))

bench: all
	/usr/bin/python3 tests/bench.py --build $(BUILD)

# The placement module (mp) alone, from a small fleet to the largest.
bench-placement: $(BENCHES)
	$(BUILD)/bench_mp 12 40 60 7 40
	$(BUILD)/bench_mp 140 56 110 75 300
	$(BUILD)/bench_mp 320 599 1447 295 934
	$(BUILD)/bench_mp 2700 110 22000 400 5200

clean:
	rm -rf build

-include $(wildcard $(BUILD)/*.d)
# soak is started by hand; CI runs only a few of its seeds.
.PHONY: all demo check sanitized lint format asan tsan soak bench bench-placement clean proto install-packages
