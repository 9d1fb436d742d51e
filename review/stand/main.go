// Command stand plays the cases 6 to 10 of a review: it starts nodes of the deploy file beside
// stand-ins for the store, servers and clients, brings a disruption about, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case, which is also the exit status.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// cases are the cases by name. Each gets the record, and whether to cause the disruption.
var cases = map[string]func(log *record, trouble bool) (verdict, error){
	"junk-heads":     junkHeads,
	"raised-limit":   raisedLimit,
	"lost-followers": lostFollowers,
	"latin-answer":   latinAnswer,
	"long-orders":    stopWithLongOrders,
}

func main() {
	os.Exit(int(play()))
}

func play() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return notRun
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.close()
	go giveUp(log)
	result, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.say("not run: %v", err)
		return notRun
	}
	log.say("%s", [...]string{"the rule held", "the rule was broken", "not run"}[result])
	return result
}

// giveUp ends the case and all its processes on a signal or after the longest time.
func giveUp(log *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	if m := started.Load(); m != nil {
		m.close()
	}
	log.say("given up")
	log.close()
	os.Exit(int(notRun))
}
