// Command trial plays the cases of the review against real node processes on loopback
// addresses. The store, the servers, the clients and the platform's signals are stand-ins
// within this process.
//
//	trial CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	caseTimeout = 110 * time.Second
)

// errNoCase means that the stand-ins could not bring about the situation of the case.
var errNoCase = errors.New("the case did not come about")

// cases are the trials by name. Each reports whether its rule was broken.
var cases = map[string]func(m *mesh, trouble bool) (bool, error){
	"term-hup":   termThenHup,
	"odd-drain":  oddPingThenDrain,
	"odd-budget": oddPings,
	"gone":       gonePipeline,
	"late-ping":  latePingAfterRestart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	m, err := newMesh(workOf(name))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer m.end(file)
	ended := make(chan int, 1)
	go func() {
		broken, err := cases[name](m, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			m.record.say("the case could not run: %v", err)
			ended <- exitCannot
		case broken:
			m.record.say("the rule was BROKEN")
			ended <- exitBroken
		default:
			m.record.say("the rule held")
			ended <- exitHeld
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-ended:
		return code
	case <-stop:
	case <-time.After(caseTimeout):
	}
	m.record.say("the case was stopped")
	return exitCannot
}

// workOf returns how long the servers of a case work on a request.
func workOf(name string) time.Duration {
	if name == "term-hup" {
		return 600 * time.Millisecond
	}
	return 30 * time.Millisecond
}
