package link

import (
	"errors"
	"time"
)

// Watch says how connections are kept.
type Watch struct {
	// PingAfter is how long a call may wait on a connection that brings nothing before
	// the other side is pinged, and PingTimeout how long the answer to that may take.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// Idle is how long a connection without calls stays open.
	Idle time.Duration
}

const (
	// watchPeriod is the time between two looks at the connections while calls wait,
	// and idlePeriod while none does. All connections share them: a node of a large
	// installation has a hundred, and a timer for each would wake it all the time.
	watchPeriod = 50 * time.Millisecond
	idlePeriod  = 500 * time.Millisecond
)

// run looks at the connections for as long as there are any.
func (p *Pool) run() {
	wait := watchPeriod
	for {
		due := time.Now().Add(wait)
		time.Sleep(wait)
		clients := p.watched()
		if len(clients) == 0 {
			return
		}
		now := time.Now()
		wait = idlePeriod
		for _, client := range clients {
			if client.look(now, p.watch, now.Sub(due)) {
				wait = watchPeriod
			}
			if p.Silent != nil && errors.Is(client.conn.failure(), ErrSilent) {
				p.Silent(client.address)
			}
		}
	}
}

// keep has a connection looked at until it fails.
func (p *Pool) keep(client *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients = append(p.clients, client)
	if len(p.clients) == 1 {
		go p.run()
	}
}

// watched returns the connections that have not failed, and forgets the others.
func (p *Pool) watched() []*Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*Client
	for _, client := range p.clients {
		if client.conn.failure() == nil {
			open = append(open, client)
		}
	}
	p.clients = open
	return open
}

// look pings the other side when calls wait and nothing comes, and closes a connection
// that stays silent or that nobody uses. It says whether calls wait. Nothing is lost by a
// connection that is silent without a call.
func (c *Client) look(now time.Time, watch Watch, late time.Duration) bool {
	waiting, since := c.waiting()
	heard := c.conn.silence()
	silent := min(heard, now.Sub(since))
	if heard < now.Sub(c.pinged) {
		c.pinged = time.Time{} // the ping was answered
	}
	switch {
	case !waiting:
		if now.Sub(since) > watch.Idle {
			c.conn.fail(errIdle)
		}
	case silent < watch.PingAfter:
	case c.pinged.IsZero() || late >= watch.PingTimeout/2:
		// A process that was late itself cannot tell whether the other side was.
		_ = c.conn.send(pingFrame, firstNumber, nil)
		c.pinged = now
	case now.Sub(c.pinged) >= watch.PingTimeout:
		c.conn.fail(ErrSilent)
	}
	return waiting
}

// waiting says whether calls wait for an answer, and since when one or none does.
func (c *Client) waiting() (waiting bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		return true, c.busySince
	}
	return false, c.used
}
