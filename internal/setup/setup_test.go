package setup

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParse runs the files under testdata: each case has a settings file, and the
// resulting settings or every problem with its position.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			node, err := Parse("node.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			return fmt.Sprintf("%+v\n", *node)
		})
	})
}

func TestLoadMissingFileFails(t *testing.T) {
	is := is.New(t)
	_, err := Load("no-such-file.yaml")
	is.True(err != nil)
}
