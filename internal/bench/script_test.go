package bench

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionfield/dandelionfield/internal/shell"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dandelionfield": func() { os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Dependencies{})) },
		"fieldlab":       func() { os.Exit(Main()) },
	})
}

// TestScripts runs the scripts in testdata/script. They test the command line of
// fieldlab, and the functions in scripts/ that need no running mesh.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for name, path := range map[string]string{
				"SCRIPTS": "../../scripts",
				"RUNS":    "testdata/runs",
			} {
				absolute, err := filepath.Abs(path)
				if err != nil {
					return err
				}
				env.Setenv(name, absolute)
			}
			return nil
		},
	})
}
