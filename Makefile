.PHONY: build demo test

build:
	go build -o bin/ ./relayd ./relctl ./stand

test:
	go test -race -timeout 14m ./...
