package bench

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
	// ticksPerSecond is the number of clock ticks per second, the unit of processor time
	// in /proc/<id>/stat.
	ticksPerSecond = 100
	bytesPerKiB    = 1024
	bytesPerMB     = 1_000_000
)

// NodeUsage is the resource usage of the nodes during a run.
type NodeUsage struct {
	Nodes int `json:"nodes"`
	// ProcessorPercent is the mean processor time of a node, in percent of one core.
	ProcessorPercent float64 `json:"processor_percent"`
	// MaxProcessorPercent is the processor time of the node that used most.
	MaxProcessorPercent float64 `json:"most_processor_percent"`
	// MemoryMB is the peak resident memory of the node that used most.
	MemoryMB float64 `json:"memory_mb"`
}

// processUsage is the resource usage of one process up to one time.
type processUsage struct {
	processor time.Duration
	// peak is the peak resident memory in bytes.
	peak int64
}

// newNodeUsage returns the usage of the processes between two readings. It returns nil
// when there are no processes or one of them could not be read, since a mean without that
// one could understate the usage.
func newNodeUsage(before, after []processUsage, elapsed time.Duration) *NodeUsage {
	if len(after) == 0 || len(before) != len(after) || elapsed <= 0 {
		return nil
	}
	usage := &NodeUsage{Nodes: len(after)}
	for i := range after {
		percent := 100 * (after[i].processor - before[i].processor).Seconds() / elapsed.Seconds()
		usage.ProcessorPercent += percent / float64(len(after))
		usage.MaxProcessorPercent = max(usage.MaxProcessorPercent, percent)
		usage.MemoryMB = max(usage.MemoryMB, float64(after[i].peak)/bytesPerMB)
	}
	return usage
}

// nodeUsage returns the usage of the nodes, with NaN values when it was not measured.
func (r Report) nodeUsage() NodeUsage {
	if r.Usage == nil {
		return NodeUsage{ProcessorPercent: math.NaN(), MaxProcessorPercent: math.NaN(), MemoryMB: math.NaN()}
	}
	return *r.Usage
}

// readUsage reads the usage of each process, and fails when one has ended.
func readUsage(ids []int) ([]processUsage, error) {
	list := make([]processUsage, 0, len(ids))
	for _, id := range ids {
		directory := "/proc/" + strconv.Itoa(id)
		stat, err := os.ReadFile(directory + "/stat")
		if err != nil {
			return nil, badFileError.Wrap(err, "read processor time")
		}
		status, err := os.ReadFile(directory + "/status")
		if err != nil {
			return nil, badFileError.Wrap(err, "read memory usage")
		}
		peak, found := parsePeak(status)
		if !found {
			return nil, badFileError.New("process %d has ended", id)
		}
		list = append(list, processUsage{processor: parseStat(string(stat)), peak: peak})
	}
	return list, nil
}

// processorTime returns the total processor time of the processes.
func processorTime(ids []int) (time.Duration, error) {
	list, err := readUsage(ids)
	total := time.Duration(0)
	for _, process := range list {
		total += process.processor
	}
	return total, err
}

// parseStat reads the sum of user and system time from a line of /proc/<id>/stat. They
// are the 12th and 13th field after the name, which ends at the last parenthesis.
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

// parsePeak reads the peak resident memory in bytes from /proc/<id>/status. A process
// that has ended has none, although its files exist until the parent has waited for it.
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
