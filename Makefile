# The tests that are listed in KNOWN-RED.txt, one name at the start of a line.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

.PHONY: build demo test

build:
	go build -o bin/ ./relayd ./relctl ./stand

demo: build
	bin/stand demo

test:
	go test -race -count=1 -timeout 14m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...
