package scenario

import (
	"log"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tanagerline/tanagerline/internal/operator/cli"
	"github.com/tanagerline/tanagerline/platform"
)

// TestMain makes the program and the stand-ins commands of the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"call": func() { callMain(os.Args[1:]) },
		"certificates": func() {
			if err := certificatesMain(os.Args[1:]); err != nil {
				log.Fatal(err)
			}
		},
		"platform": func() { os.Exit(platformMain(os.Args[1:])) },
		"raw":      func() { rawMain(os.Args[1:]) },
		"relay":    func() { log.Fatal(relayMain(os.Args[1:])) },
		"tanagerline": func() {
			os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr, cli.Platform{
				Adapter: platform.NewAdapter, Configuration: platform.ReadConfiguration, ConfigurationField: platform.ConfigurationField,
			}))
		},
		"upstream": func() { os.Exit(upstreamMain(os.Args[1:])) },
	})
}

// TestScripts runs the scenarios.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../../testdata/scripts",
		Cmds:                scenarioCommands(),
		Setup:               setUpScenario,
		RequireExplicitExec: true,
	})
}
