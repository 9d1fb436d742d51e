package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// outage is how long the store is down, and outageBeforeLeave how long it is down when a
	// server leaves.
	outage            = 4500 * time.Millisecond
	outageBeforeLeave = 500 * time.Millisecond
	// killDelay is the time from the confirmation to the end of all processes.
	killDelay = 50 * time.Millisecond
	// heldUp is how long the last heartbeat of the server is under way.
	heldUp = 7 * time.Second
	// serveAfterLeave is how long the server goes on serving after the confirmation.
	serveAfterLeave = 14 * time.Second
	// drain is the time after a confirmed departure in which requests may still reach the
	// server.
	drain = 2 * time.Second
)

// lostLeave lets a server leave while the store is down, ends all processes right after the
// confirmation, and delivers an earlier heartbeat of the server late.
func lostLeave(log *record, trouble bool) (verdict, error) {
	m, err := newMesh(log, defaultState(), smallSite())
	defer m.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	traffic := startTraffic(ctx, m)
	time.Sleep(contact)
	leaving := m.of("stock")[0].server
	m.store.setDown(trouble)
	log.say("the store is down: %t", trouble)
	storeBack := time.Now().Add(outage)
	time.Sleep(outageBeforeLeave)
	late := leaving.nextHeartbeat()
	lateAt := time.Now().Add(heldUp)
	if !leaving.depart() {
		log.say("the departure of %s is not confirmed, so it binds nobody", leaving.id)
		return held, nil
	}
	confirmed := time.Now()
	log.say("the departure of %s is confirmed", leaving.id)
	time.Sleep(killDelay)
	if trouble {
		for _, one := range m.machines {
			one.crash()
		}
		log.say("all processes are killed")
	}
	time.Sleep(time.Until(storeBack))
	m.store.setDown(false)
	log.say("the store is back")
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(lateAt))
	log.say("a heartbeat that %s sent %s ago arrives, confirmed: %t", leaving.id, heldUp, leaving.heartbeat(late))
	time.Sleep(time.Until(confirmed.Add(serveAfterLeave)))
	cancel()
	traffic.wait()
	return judgeLeave(log, leaving, confirmed, inTouch, traffic), nil
}

// judgeLeave counts the requests that clients sent to machines in touch, and that the server that
// had left got later than drain after the confirmation.
func judgeLeave(log *record, leaving *server, confirmed, inTouch time.Time, t *traffic) verdict {
	sent := map[string]time.Time{}
	served := 0
	for _, r := range t.requests {
		sent[r.id] = r.sent
		if r.status == http.StatusOK && r.sent.After(inTouch) {
			served++
		}
	}
	reached := 0
	for _, id := range leaving.since(confirmed.Add(drain)) {
		if sent[id].After(inTouch) {
			reached++
			run, _ := leaving.find(id)
			log.printf("DRAIN: %s reaches %s %s after its departure was confirmed", id, leaving.id, run.began.Sub(confirmed))
		}
	}
	log.say("%d requests reached %s more than %s after its departure was confirmed; %d requests of machines in touch were served", reached, leaving.id, drain, served)
	switch {
	case served == 0:
		return notRun
	case reached > 0:
		return broken
	}
	return held
}
