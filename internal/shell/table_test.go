package shell

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

const (
	// screenLines and screenColumns are the size of the screen that the status has to fit
	// on.
	screenLines   = 50
	screenColumns = 160
	// watchHeaderLines is the number of lines that --watch writes above the status.
	watchHeaderLines = 1
	// designNodes and designServices are the size of the largest mesh that the project is
	// designed for.
	designNodes    = 530
	designServices = 54
)

// worstCaseStatus returns the status of a mesh of the largest supported size in which
// everything is wrong at once.
func worstCaseStatus() admin.Status {
	status := admin.Status{
		Node: "subscriptions-renewal-001", Service: "subscriptions-renewal", DataCentre: "port-louis-north",
		Revision: 710, RevisionAgeMS: 3_600_000, PlatformSilentMS: 3_600_000,
	}
	for i := range designServices {
		service := admin.Service{
			Name:    fmt.Sprintf("subscriptions-renewal-%02d", i),
			Unowned: &admin.Unowned{Slots: 3, Of: 12, Until: "2026-03-01T10:00:00Z", Lost: []string{"lost-1"}},
		}
		status.Services = append(status.Services, service)
	}
	for i := range designNodes {
		name := fmt.Sprintf("subscriptions-renewal-%03d", i)
		service := &status.Services[i%designServices]
		status.Members = append(status.Members, admin.Member{
			Name: name, Service: service.Name, DataCentre: "port-louis-north", State: "leaving", Revision: 709, PendingHandovers: 1,
		})
		state := admin.StateReady
		if i%designServices < designServices/2 {
			state = "silent"
		}
		service.Targets = append(service.Targets, admin.Target{
			Node: name, State: state, InFlight: 115, Limit: 120, Queued: 120, Floor: 1 << 17, Ejected: true, StoppedMS: 3_600_000,
		})
	}
	status.Members[0].Revision = status.Revision
	for i := range 40 {
		status.Refusals = append(status.Refusals, admin.Count{Reason: fmt.Sprintf("reason_number_%d", i), Count: 1_000_000_000})
	}
	status.Retries = status.Refusals
	status.Complete()
	return status
}

func TestStatusFitsScreen(t *testing.T) {
	is := is.New(t)
	status := worstCaseStatus()
	var out bytes.Buffer
	a := &app{stdout: &out, output: outputTable}
	is.NoErr(a.print(status, func(w io.Writer) { printStatus(w, status, false) }))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(len(lines)+watchHeaderLines <= screenLines) // the status fits on the screen, also with --watch
	for _, line := range lines {
		if utf8.RuneCountInString(line) > screenColumns {
			t.Errorf("%d columns: %s", utf8.RuneCountInString(line), line)
		}
	}
	for _, wanted := range []string{
		"TO DO", "restart targets of", "start targets of", "bring the platform back", "look at the hosts of subscriptions-renewal-001, subscriptions-renewal-002, subscriptions-renewal-003 and 526 more",
		"25% until 2026-03-01T10:00:00Z", "stopped for 1h0m0s, ejected", "silent", "and 46 more", "and 525 more",
	} {
		is.True(strings.Contains(out.String(), wanted)) // each kind of problem is shown
	}
	out.Reset()
	is.NoErr(a.print(status, func(w io.Writer) { printStatus(w, status, true) }))
	is.True(strings.Count(out.String(), "\n") > 2*designNodes) // --all lists every member and target
}

// TestStatusKeysInYAMLAndJSON checks that the formats for programs, YAML and JSON,
// contain the keys and conditions that were added last.
func TestStatusKeysInYAMLAndJSON(t *testing.T) {
	for _, form := range []outputFormat{outputYAML, outputJSON} {
		is := is.New(t)
		var out bytes.Buffer
		a := &app{stdout: &out, output: form}
		is.NoErr(a.print(worstCaseStatus(), nil))
		for _, key := range []string{
			"stopped_ms", "ejected", "pending_handovers", "unowned", "slots", "until", "lost", "platform_silent_ms",
			"platform_answers", "keys_owned", "handed_over", "targets_go_on",
		} {
			is.True(strings.Contains(out.String(), key)) // the output has the key or condition
		}
	}
}
