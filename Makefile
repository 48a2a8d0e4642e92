# The front door: every target sets up what it needs.
.PHONY: setup build test demo bench slopes lint format asan
JOBS ?= $(shell nproc)

setup:
	./cmake/setup.sh

build: setup
	cmake --preset release
	cmake --build build -j $(JOBS)

test: build
	./cmake/run_tests.sh build

demo: build
	./samples/demo.sh build/bin

bench: build
	./performance/bench.sh build/bin

slopes: build
	./performance/slopes.sh build/bin

lint: build
	./cmake/lint.sh

format:
	./cmake/format.sh

asan: setup
	cmake --preset asan
	cmake --build build-asan -j $(JOBS)
	./cmake/run_tests.sh build-asan
