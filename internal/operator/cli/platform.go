package cli

import (
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/node"
	"github.com/tanagerline/tanagerline/internal/operator/planlint"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// AdapterFactory makes the adapter for the platform that a node's settings name.
type AdapterFactory func(settings.Node) *node.Adapter

// ConfigurationReader decodes a platform's configuration into a plan, whose offset is the
// configuration's version, and returns the findings about what the plan doesn't show. It returns an
// error if the document as a whole can't be decoded.
type ConfigurationReader func(data []byte) (reducer.Plan, []planlint.Finding, error)

// Platform holds the parts of the program that depend on the platform.
type Platform struct {
	// Adapter is called for a node whose settings ask for an adapter.
	Adapter AdapterFactory
	// Configuration reads the configurations that operators check.
	Configuration ConfigurationReader
	// ConfigurationField returns a plan's field by the name that it has in a configuration.
	ConfigurationField func(field string) string
}
