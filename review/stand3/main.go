package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	caseTimeout  = 115 * time.Second
	usageMessage = "usage: stand3 CASE FOLDER"
)

// scenario plays one case and returns how the rule was broken, or nothing if it held.
type scenario func(m *mesh, trouble bool) (broken []string, err error)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageMessage)
		os.Exit(exitCannot)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run scenario, folder string, trouble bool) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	m, err := newMesh(rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitCannot
	}
	defer m.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := run(m, trouble)
		ended <- outcome{broken, err}
	}()
	rec.note("disruption: %v", trouble)
	select {
	case <-interrupted:
		rec.note("cannot run: interrupted")
		return exitCannot
	case <-time.After(caseTimeout):
		rec.note("cannot run: not done after %s", caseTimeout)
		return exitCannot
	case out := <-ended:
		return report(rec, out.broken, out.err)
	}
}

func report(rec *record, broken []string, err error) int {
	switch {
	case err != nil:
		rec.note("cannot run: %v", err)
		return exitCannot
	case len(broken) > 0:
		for _, line := range broken {
			rec.note("BROKEN %s", line)
		}
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
