// Command tanagerline runs one node beside an upstream, and the operators' tools.
package main

import (
	"os"

	"github.com/tanagerline/tanagerline/internal/operator/cli"
	"github.com/tanagerline/tanagerline/platform"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr, cli.Platform{
		Adapter: platform.NewAdapter, Configuration: platform.ReadConfiguration, ConfigurationField: platform.ConfigurationField,
	}))
}
