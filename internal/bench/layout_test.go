package bench

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// TestLayoutExamples checks that a node accepts the settings written for it, that no
// two processes of the two firms share an address, that adjacent entries are in different
// data centres, and that the mix has only declared kinds.
func TestLayoutExamples(t *testing.T) {
	is := is.New(t)
	taken := map[string]string{}
	control := map[string]string{}
	centre := map[string]string{}
	for _, firm := range []string{"cannelle", "kiudvali"} {
		layout, mesh, err := ReadLayout(filepath.Join("../../examples", firm))
		is.NoErr(err)
		out := t.TempDir()
		is.NoErr(layout.Write(mesh, "mesh", out))
		is.Equal(len(layout.Hosts()), 12)
		for _, host := range layout.Hosts() {
			node, err := setup.Load(filepath.Join(out, "node-"+host.Name+".yaml"))
			is.NoErr(err)
			var target TargetConfig
			is.NoErr(ReadYAML(filepath.Join(out, "target-"+host.Name+".yaml"), &target))
			control[target.ControlListen] = host.Name
			centre[node.CallerListen] = host.DataCentre
			is.Equal(target.Listen, node.TargetAddress)
			is.Equal(target.NodeAddress, node.CallerListen)
			for _, address := range []string{node.CallerListen, node.RelayListen, node.AdminListen, target.Listen, target.ControlListen} {
				is.Equal(taken[address], "") // another process listens on the address
				taken[address] = host.Name
			}
		}
		for name := range layout.Load.Traces {
			var load LoadConfig
			is.NoErr(ReadYAML(filepath.Join(out, "load-"+name+".yaml"), &load))
			is.Equal(len(load.Targets), 12)
			for _, target := range load.Targets {
				is.Equal(control[target.Address], target.Name)
			}
			for i, entry := range load.Entries {
				next := load.Entries[(i+1)%len(load.Entries)]
				is.True(centre[entry] != centre[next]) // a caller would retry in the same data centre
			}
			for kind := range load.Mix {
				is.True(mesh.Kind(kind) != nil) // the mix has an undeclared kind
			}
		}
	}
}
