package link

import (
	"errors"
	"time"
)

// Keepalive says when connections are pinged and when they are closed.
type Keepalive struct {
	// PingAfter is how long calls may be in flight with nothing arriving before the peer
	// is pinged. PingTimeout is how long the peer may take to answer.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is how long a connection without calls stays open.
	IdleTimeout time.Duration
}

const (
	// busyCheckPeriod is the time between two checks of all connections while calls are
	// in flight, and idleCheckPeriod while there are none. One goroutine checks all
	// connections: a node of a large installation has a hundred, and a timer for each
	// would wake it all the time.
	busyCheckPeriod = 50 * time.Millisecond
	idleCheckPeriod = 500 * time.Millisecond
)

// monitor checks the connections periodically until none is left.
func (p *Pool) monitor() {
	wait := busyCheckPeriod
	for {
		due := time.Now().Add(wait)
		time.Sleep(wait)
		clients := p.openClients()
		if len(clients) == 0 {
			return
		}
		now := time.Now()
		wait = idleCheckPeriod
		for _, client := range clients {
			if client.checkLiveness(now, p.keepalive, now.Sub(due)) {
				wait = busyCheckPeriod
			}
			if p.OnSilent != nil && errors.Is(client.conn.failure(), ErrSilent) {
				p.OnSilent(client.address)
			}
		}
	}
}

// addClient has a connection monitored until it fails.
func (p *Pool) addClient(client *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients = append(p.clients, client)
	if len(p.clients) == 1 {
		go p.monitor()
	}
}

// openClients returns the connections that have not failed and drops the others from the
// monitored ones.
func (p *Pool) openClients() []*Client {
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

// checkLiveness pings the peer when calls are in flight and nothing arrives. It closes a
// connection that stays silent or has been idle for too long, and reports whether calls
// are in flight. A connection without calls is not pinged, since nothing is lost if it
// breaks. late is how much later than scheduled the check runs.
func (c *Client) checkLiveness(now time.Time, keepalive Keepalive, late time.Duration) bool {
	busy, since := c.callState()
	sinceRead := c.conn.sinceLastRead()
	silent := min(sinceRead, now.Sub(since))
	if sinceRead < now.Sub(c.pingSentAt) {
		c.pingSentAt = time.Time{} // the ping was answered
	}
	switch {
	case !busy:
		if now.Sub(since) > keepalive.IdleTimeout {
			c.conn.fail(errIdle)
		}
	case silent < keepalive.PingAfter:
	case c.pingSentAt.IsZero() || late >= keepalive.PingTimeout/2:
		// A process that was late itself cannot tell whether the peer is silent, so it
		// pings again.
		_ = c.conn.send(pingFrame, pingNumber, nil)
		c.pingSentAt = now
	case now.Sub(c.pingSentAt) >= keepalive.PingTimeout:
		c.conn.fail(ErrSilent)
	}
	return busy
}

// callState reports whether calls are in flight, and since when calls or no calls have
// been.
func (c *Client) callState() (busy bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		return true, c.busySince
	}
	return false, c.lastUsed
}
