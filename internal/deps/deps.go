// Package deps keeps library versions in go.mod until their first user is merged.
package deps

import (
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/thejerf/suture/v4"
	_ "github.com/willabides/kongplete"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "pgregory.net/rapid"
)
