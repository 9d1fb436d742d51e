package httpd

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
)

// evictionPeriod is the least time between two searches for stalled connections, since many
// requests may wait for memory at once.
const evictionPeriod = 100 * time.Millisecond

// closeStalled closes connections on which nothing has moved for minStall, those that have
// stalled for the longest time first, until they release the memory that requests wait for.
func (s *Server) closeStalled() {
	now := time.Now()
	last := s.lastEviction.Load()
	if now.UnixNano()-last < int64(evictionPeriod) || !s.lastEviction.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	conns := s.connections()
	stalls := make([]alloc.Stall, 0, len(conns))
	for i, c := range conns {
		if since, ok := c.stalledSince(); ok {
			stalls = append(stalls, alloc.Stall{Since: since, Bytes: c.heldBytes(), Index: i})
		}
	}
	for _, i := range alloc.Victims(now, stalls, s.Memory.Wanted(), minStall) {
		s.evict(conns[i], ForMemory)
	}
}

// admitConn reports whether one more connection may be served. At MaxConns, it evicts
// the first of these that exists: the connection that has been idle or has stalled for the
// longest time, if for at least minStall; the one that has waited for memory for the longest
// time; the one that has been idle for the longest time. It reports false if there is none.
func (s *Server) admitConn() bool {
	if s.MaxConns <= 0 || s.openConns() < s.MaxConns {
		return true
	}
	now := time.Now()
	var victim *conn
	for _, since := range []func(c *conn) time.Time{
		func(c *conn) time.Time { return c.unusedSince(now) },
		func(c *conn) time.Time { return orNow(c.waitingSince.Load(), now) },
		func(c *conn) time.Time { return orNow(c.idleSince.Load(), now) },
	} {
		if victim = s.oldest(now, since); victim != nil {
			break
		}
	}
	if victim == nil {
		return false
	}
	s.evict(victim, ForConnections)
	s.remove(victim)
	return true
}

// oldest returns the connection with the earliest time by the given function, nil if it
// returns now for all of them.
func (s *Server) oldest(now time.Time, since func(c *conn) time.Time) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *conn
	earliest := now
	for c := range s.conns {
		if at := since(c); at.Before(earliest) {
			found, earliest = c, at
		}
	}
	return found
}

// unusedSince returns since when the connection has been idle or has stalled, and now if that
// is less than minStall ago.
func (c *conn) unusedSince(now time.Time) time.Time {
	since, ok := c.stalledSince()
	if idle := c.idleSince.Load(); idle != 0 {
		since, ok = time.Unix(0, idle), true
	}
	if !ok || now.Sub(since) < minStall {
		return now
	}
	return since
}

// orNow converts Unix nanoseconds, of which 0 stands for now.
func orNow(nanos int64, now time.Time) time.Time {
	if nanos == 0 {
		return now
	}
	return time.Unix(0, nanos)
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evict closes a connection to free what is wanted, memory or connections.
func (s *Server) evict(c *conn, wanted string) {
	if !c.evicted.CompareAndSwap(false, true) {
		return
	}
	_ = c.raw.Close()
	// Ends a wait for memory.
	c.cancel()
	s.countClosed(wanted)
	if s.EvictionLimiter == nil {
		return
	}
	leftOut, ok := s.EvictionLimiter.Allow(time.Now(), wanted)
	if !ok {
		return
	}
	s.Log.Warn("caller_evicted",
		"caller", c.raw.RemoteAddr().String(),
		"wanted", wanted,
		"held_bytes", s.Memory.Held(),
		"connections", s.openConns(),
		"left_out", leftOut,
	)
}

// stalledSince returns since when the server has waited for the caller to send or to read,
// and false if it does not wait.
func (c *conn) stalledSince() (time.Time, bool) {
	since := c.sendingSince.Load()
	if since == 0 {
		since = c.readingSince.Load()
	}
	return time.Unix(0, since), since != 0
}
