package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory_mb of the settings, beyond which the platform kills a process.
	memoryMB     = 284
	memoryPeriod = 20 * time.Millisecond
	// readers is the number of clients, each with one request for a large answer on a
	// connection that has served a request before.
	readers = 120
	// largeBytes is the size of an answer. It takes up to largeWork to make.
	largeBytes = 3_000_000
	largeWork  = 2300 * time.Millisecond
	// A slow client has room for windowBytes and reads readBytes, then pauses.
	windowBytes = 16 << 10
	readBytes   = 4 << 10
	readPause   = 50 * time.Millisecond
	readPeriod  = 12 * time.Second
	// mostLost is how many requests the rule lets a machine lose.
	mostLost = 3
	kilobyte = 1024
)

func init() {
	scenarios["slow-readers"] = playSlowReaders
}

// playSlowReaders has the clients of one machine ask for large answers and read them slowly.
func playSlowReaders(m *mesh, trouble bool) ([]string, error) {
	if err := m.startAll(); err != nil {
		return nil, err
	}
	for _, mc := range m.of(roundsService) {
		mc.server.setLarge(largeBytes, largeWork)
	}
	entry := m.of(subsService)[0]
	stop := make(chan struct{})
	peak := make(chan int)
	go func() { peak <- entry.watchMemory(stop) }()
	lost := &lostRequests{unanswered: map[string]bool{}}
	var clients sync.WaitGroup
	for range readers {
		clients.Go(func() { lost.readLarge(entry, trouble) })
	}
	clients.Wait()
	close(stop)
	m.rec.note("the node %s held %d MB at most", entry.name, <-peak)
	return lost.ranWithoutAnswer(m), nil
}

// watchMemory does what the platform does with a process that takes more than its machine's
// memory. It returns the most that the node has held, in MB.
func (mc *machine) watchMemory(stop <-chan struct{}) int {
	mc.mu.Lock()
	process := mc.process.Process
	mc.mu.Unlock()
	most := 0
	for {
		held := residentMB(process.Pid)
		most = max(most, held)
		if held > memoryMB {
			mc.mesh.rec.note("node %s holds %d MB and is killed", mc.name, held)
			_ = process.Signal(syscall.SIGKILL)
			<-stop
			return most
		}
		select {
		case <-stop:
			return most
		case <-time.After(memoryPeriod):
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		parts := strings.Fields(line)
		if len(parts) > 1 && parts[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(parts[1])
			return kilobytes / kilobyte
		}
	}
	return 0
}

// lostRequests holds the requests whose connection the node ended before any byte of their
// answer had come.
type lostRequests struct {
	mu         sync.Mutex
	unanswered map[string]bool
}

// ranWithoutAnswer returns how the rule was broken, if it was.
func (l *lostRequests) ranWithoutAnswer(m *mesh) []string {
	var broken []string
	for _, r := range m.allRuns() {
		if l.unanswered[r.id] {
			broken = append(broken, fmt.Sprintf("LOST: %s ran at %s, and its kept connection was closed without an answer", r.id, r.server))
		}
	}
	if len(broken) <= mostLost {
		return nil
	}
	return broken
}

// readLarge asks for a large answer on a connection that has served a request before, and reads
// it.
func (l *lostRequests) readLarge(mc *machine, slowly bool) {
	raw, err := net.DialTimeout("tcp", mc.address(outboundPort), connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(readPeriod))
	input := io.Reader(raw)
	if slowly {
		_ = raw.(*net.TCPConn).SetReadBuffer(windowBytes)
		input = &slowReader{raw: raw}
	}
	reader := bufio.NewReaderSize(input, readBytes)
	if _, err := raw.Write(sized(lookUp("first")).bytes()); err != nil {
		return
	}
	if _, err := readAnswer(reader); err != nil {
		return
	}
	r := sized(lookUp("large"))
	mc.mesh.rec.note("client of %s sends %s", mc.name, r.id)
	if _, err := raw.Write(r.bytes()); err != nil {
		return
	}
	_, err = reader.Peek(1)
	l.add(r.id, endedByPeer(err))
	mc.mesh.rec.note("client of %s begins to read the answer to %s: %v", mc.name, r.id, err)
	if err == nil {
		_, err = readAnswer(reader)
		mc.mesh.rec.note("client of %s has read the answer to %s: %v", mc.name, r.id, err)
	}
}

func (l *lostRequests) add(id string, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered[id] = lost
}

// endedByPeer reports whether a read failed because the other end has ended the connection,
// not because the client gave up.
func endedByPeer(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func sized(r request) request {
	r.deadlineMS = int(readPeriod.Milliseconds())
	return r
}

// readAnswer reads a whole answer and returns its status.
func readAnswer(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// slowReader reads a little at a time.
type slowReader struct {
	raw net.Conn
}

func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.raw.Read(p)
	time.Sleep(readPause)
	return n, err
}
