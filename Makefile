.PHONY: build demo test

build:
	go build -o bin/ ./relayd ./relctl ./stand

demo: build
	bin/stand demo

test:
	go test -race -count=1 -timeout 14m ./...
