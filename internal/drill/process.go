package drill

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the unit of processor time in /proc/<id>/stat.
	ticksPerSecond = 100
	bytesPerKiB    = 1024
	bytesPerMB     = 1_000_000
)

// NodeUse is what the nodes took of their host during a run.
type NodeUse struct {
	Nodes int `json:"nodes"`
	// ProcessorPercent is the mean processor time of a node, of one core's.
	ProcessorPercent float64 `json:"processor_percent"`
	// MostProcessorPercent is that of the node that used most.
	MostProcessorPercent float64 `json:"most_processor_percent"`
	// MemoryMB is the resident memory of the largest node at its highest.
	MemoryMB float64 `json:"memory_mb"`
}

// usage is what one process had used at one time.
type usage struct {
	processor time.Duration
	// peak is the highest resident memory in bytes.
	peak int64
}

// newNodeUse returns what the processes used between two readings, or nil when
// there are none or one of them could not be read: a mean without it would say
// that the nodes take less than they do.
func newNodeUse(before, after []usage, elapsed time.Duration) *NodeUse {
	if len(after) == 0 || len(before) != len(after) || elapsed <= 0 {
		return nil
	}
	use := &NodeUse{Nodes: len(after)}
	for i := range after {
		percent := 100 * (after[i].processor - before[i].processor).Seconds() / elapsed.Seconds()
		use.ProcessorPercent += percent / float64(len(after))
		use.MostProcessorPercent = max(use.MostProcessorPercent, percent)
		use.MemoryMB = max(use.MemoryMB, float64(after[i].peak)/bytesPerMB)
	}
	return use
}

// nodeUse returns what the nodes took, as not a number when that is not known.
func (r Report) nodeUse() NodeUse {
	if r.Use == nil {
		return NodeUse{ProcessorPercent: math.NaN(), MostProcessorPercent: math.NaN(), MemoryMB: math.NaN()}
	}
	return *r.Use
}

// readUsage reads what each process has used, and fails when one is gone.
func readUsage(ids []int) ([]usage, error) {
	list := make([]usage, 0, len(ids))
	for _, id := range ids {
		directory := "/proc/" + strconv.Itoa(id)
		stat, err := os.ReadFile(directory + "/stat")
		if err != nil {
			return nil, badFile.Wrap(err, "processor time")
		}
		status, err := os.ReadFile(directory + "/status")
		if err != nil {
			return nil, badFile.Wrap(err, "memory")
		}
		peak, alive := parsePeak(status)
		if !alive {
			return nil, badFile.New("process %d has ended", id)
		}
		list = append(list, usage{processor: parseStat(string(stat)), peak: peak})
	}
	return list, nil
}

// processorTime returns the processor time that the processes have used together.
func processorTime(ids []int) (time.Duration, error) {
	list, err := readUsage(ids)
	total := time.Duration(0)
	for _, one := range list {
		total += one.processor
	}
	return total, err
}

// parseStat reads user and system time from a line of /proc/<id>/stat. They
// are the 12th and 13th field after the name, which ends at the last bracket.
func parseStat(line string) time.Duration {
	const user, system = 11, 12
	_, rest, _ := strings.Cut(line[strings.LastIndex(line, ")")+1:], " ")
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, field := range []int{user, system} {
		count, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// parsePeak reads the highest resident memory in bytes from /proc/<id>/status.
// A process that has ended has none, though its files stay until it is waited for.
func parsePeak(status []byte) (int64, bool) {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		var kib int64
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kib); err == nil {
			return kib * bytesPerKiB, true
		}
	}
	return 0, false
}
