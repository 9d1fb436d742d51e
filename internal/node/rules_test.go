package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

// A host was lost and another one has its address: calls to the lost node would
// reach the new one, which refuses them, until the lease of the lost one ends.
func TestReplacedHostIsNoTarget(t *testing.T) {
	is := is.New(t)
	lost := member.Member{Name: "side-4", RelayAddress: "10.0.0.4:7100", StartedMS: 100}
	successor := member.Member{Name: "side-6", RelayAddress: "10.0.0.4:7100", StartedMS: 900}
	other := member.Member{Name: "side-1", RelayAddress: "10.0.0.1:7100", StartedMS: 50}
	is.Equal(lastAtAddress([]member.Member{lost, other, successor}), []member.Member{other, successor})
	is.Equal(lastAtAddress([]member.Member{lost, other}), []member.Member{lost, other})
}
