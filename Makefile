# The commands of the project; README.md says what each is for.
MODULES := common hemlockd hemlockctl standin
PACKAGES := $(MODULES:%=./%/...)
SEED ?= 1
MINUTES ?= 1
N ?= 2 7 28

.PHONY: demo up down test red lint

demo:
	scripts/demo.sh

up:
	scripts/up.sh

down:
	scripts/down.sh

test:
	go test -race $(PACKAGES)

red:
	scripts/red.sh

lint:
	@unformatted=$$(gofmt -l $(MODULES)); [ -z "$$unformatted" ] || { echo "not formatted: $$unformatted"; exit 1; }
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)
